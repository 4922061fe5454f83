#include "switchsaddle/node_options/node_options.h"

namespace switchsaddle::node_options {

sessions::SessionTimes sessionTimesOf(const configuration::TimeSettings& times) {
  sessions::SessionTimes result;
  result.front_limit = times.session_front_limit;
  result.core_limit = times.session_core_limit;
  result.renewal = times.session_renewal;
  result.core_timeout = times.core_timeout;
  result.read_deadline = times.register_deadline;
  result.core_refused_grace = times.core_refused_grace;
  return result;
}

dissemination::GossipOptions gossipOptionsOf(const configuration::TimeSettings& times) {
  dissemination::GossipOptions result;
  result.interval = times.gossip_interval;
  return result;
}

}  // namespace switchsaddle::node_options
