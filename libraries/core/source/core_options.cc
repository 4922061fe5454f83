#include "core_options.h"

namespace switchsaddle::core {

sessions::SessionTimes sessionTimesOf(const configuration::TimeSettings& times) {
  sessions::SessionTimes result;
  result.front_limit = times.session_front_limit;
  result.core_limit = times.session_core_limit;
  result.renewal = times.session_renewal;
  result.core_silence = times.core_silence;
  result.read_deadline = times.register_deadline;
  result.core_refused_grace = times.core_refused_grace;
  return result;
}

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

dissemination::GossipOptions gossipOptionsOf(const configuration::TimeSettings& times) {
  dissemination::GossipOptions result;
  result.interval = times.gossip_interval;
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
  if (settings.tolerated_core_losses > 0) {
    result.wanted_members = 2 * settings.tolerated_core_losses + 1;
  }
  return result;
}

}  // namespace switchsaddle::core
