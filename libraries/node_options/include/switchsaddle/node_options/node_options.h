#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/sessions/session_times.h"

/**
 * @file
 * Converts the settings into the options that fronts and cores share. All nodes of a
 * fleet must use the same values.
 */

namespace switchsaddle::node_options {

sessions::SessionTimes sessionTimesOf(const configuration::TimeSettings& times);
dissemination::GossipOptions gossipOptionsOf(const configuration::TimeSettings& times);

}  // namespace switchsaddle::node_options
