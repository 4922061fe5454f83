#include "core_options.h"

namespace switchsaddle::core {

lease::LeaseTimes leaseTimesOf(const configuration::TimeSettings& times) {
  lease::LeaseTimes result;
  result.duration = times.lease_duration;
  return result;
}

registers::ProposerOptions proposerOptionsOf(const configuration::TimeSettings& times) {
  registers::ProposerOptions result;
  result.operation_deadline = times.register_deadline;
  return result;
}

registers::BootstrapOptions bootstrapOptionsOf(const configuration::Settings& settings) {
  registers::BootstrapOptions result;
  result.initial_cores = settings.initial_cores;
  result.seeds = settings.seeds;
  result.zone = settings.zone;
  return result;
}

workers::PlatformWatcherOptions watcherOptionsOf(const configuration::TimeSettings& times) {
  workers::PlatformWatcherOptions result;
  result.poll_interval = times.platform_poll;
  return result;
}

MembershipOptions membershipOptionsOf(const configuration::Settings& settings) {
  MembershipOptions result;
  result.silence_bound = settings.times.core_replacement_silence;
  result.tolerated_core_losses = settings.tolerated_core_losses;
  result.tolerated_zone_losses = settings.tolerated_zone_losses;
  return result;
}

}  // namespace switchsaddle::core
