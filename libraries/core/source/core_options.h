#pragma once

#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/membership_keeper.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/lease/lease_times.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/sessions/session_times.h"
#include "switchsaddle/workers/platform_watcher.h"

/**
 * @file
 * The settings' times as the options of a core node's parts.
 */

namespace switchsaddle::core {

sessions::SessionTimes sessionTimesOf(const configuration::TimeSettings& times);
lease::LeaseTimes leaseTimesOf(const configuration::TimeSettings& times);
registers::ProposerOptions proposerOptionsOf(const configuration::TimeSettings& times);
registers::BootstrapOptions bootstrapOptionsOf(const configuration::Settings& settings);
dissemination::GossipOptions gossipOptionsOf(const configuration::TimeSettings& times);
workers::PlatformWatcherOptions watcherOptionsOf(const configuration::TimeSettings& times);
MembershipOptions membershipOptionsOf(const configuration::Settings& settings);

}  // namespace switchsaddle::core
