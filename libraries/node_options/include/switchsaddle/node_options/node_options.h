#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/sessions/session_times.h"

/**
 * @file
 * What fronts and cores take from the settings alike. All nodes of a fleet must share these times.
 */

namespace switchsaddle::node_options {

sessions::SessionTimes sessionTimesOf(const configuration::TimeSettings& times);
dissemination::GossipOptions gossipOptionsOf(const configuration::TimeSettings& times);

}  // namespace switchsaddle::node_options
