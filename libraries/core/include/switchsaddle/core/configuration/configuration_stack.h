#pragma once

#include "switchsaddle/core/configuration/configuration_follower.h"
#include "switchsaddle/core/configuration/in_force_tracker.h"
#include "switchsaddle/core/configuration/register_change_coordinator.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/core/node/register_stack.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::core {

/**
 * The configuration on one core node: the replica, its dissemination, the tracking of versions in
 * force, and the commit of changes. Only connects the state machines. A delta committed by this
 * node is sent to the peer cores. Runs on the control strand.
 */
struct ConfigurationStack {
  ConfigurationStack(const CoreEnvironment& environment, RegisterStack& registers,
                     sessions::SessionTable& sessions, workers::WorkerDirectory& workers);
  ConfigurationStack(const ConfigurationStack&) = delete;
  ConfigurationStack& operator=(const ConfigurationStack&) = delete;

  dissemination::ConfigurationReplica replica;
  dissemination::GossipAgent gossip;
  InForceTracker tracker;
  ConfigurationFollower follower;
  RegisterChangeCoordinator coordinator;
};

}  // namespace switchsaddle::core
