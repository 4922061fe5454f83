#include "node/core_options.h"

#include <algorithm>

namespace switchsaddle::core {

namespace {

constexpr base::Duration ShortLeaseDuration = std::chrono::milliseconds(1'500);
constexpr base::Duration ShortCallTimeout = std::chrono::milliseconds(250);
constexpr base::Duration ShortBackOff = std::chrono::milliseconds(150);

}  // namespace

lease::LeaseTimes leaseTimesOf(const configuration::TimeSettings& times) {
  lease::LeaseTimes result;
  result.duration = times.lease_duration;
  return result;
}

lease::LeaseTimes shortLeaseTimesOf(const configuration::TimeSettings& times) {
  lease::LeaseTimes result;
  result.duration = std::min(times.lease_duration, ShortLeaseDuration);
  result.call_timeout = ShortCallTimeout;
  result.maximum_back_off = ShortBackOff;
  return result;
}

registers::AcceptorOptions acceptorOptionsOf(const CoreFaults& faults) {
  registers::AcceptorOptions options;
  options.test_answer_before_sync = faults.answer_before_sync;
  return options;
}

registers::ProposerOptions proposerOptionsOf(const configuration::TimeSettings& times) {
  registers::ProposerOptions result;
  result.operation_deadline = times.register_deadline;
  return result;
}

registers::BootstrapOptions bootstrapOptionsOf(const configuration::Settings& settings,
                                               const CoreFaults& faults) {
  registers::BootstrapOptions result;
  result.test_withhold_initial_cores = faults.withhold_initial_cores;
  result.initial_cores = settings.initial_cores;
  result.seeds = settings.seeds;
  result.zone = settings.zone;
  result.election.tolerated_core_losses = settings.tolerated_core_losses;
  result.election.tolerated_zone_losses = settings.tolerated_zone_losses;
  result.election.enabled = settings.tolerated_region_losses == 0;
  return result;
}

workers::PlatformWatcherOptions watcherOptionsOf(const configuration::TimeSettings& times) {
  workers::PlatformWatcherOptions result;
  result.poll_interval = times.platform_poll;
  return result;
}

MembershipOptions membershipOptionsOf(const configuration::Settings& settings) {
  MembershipOptions result;
  result.unresponsive_timeout = settings.times.core_replacement_timeout;
  result.tolerated.cores = settings.tolerated_core_losses;
  result.tolerated.zones = settings.tolerated_zone_losses;
  return result;
}

}  // namespace switchsaddle::core
