#pragma once

#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/core/configuration/change_coordinator.h"
#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/metrics/strand_watch.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_directory.h"

namespace switchsaddle::core {

/** Replaces a member of the acceptor set by the core process at another address. */
using ReplaceCore =
    std::function<void(const base::NodeAddress& old_member, const base::NodeAddress& new_member,
                       std::function<void(base::ResultCode)> callback)>;

/** The services that the control API uses. All of them outlive the ControlService. */
struct ControlDependencies {
  base::Dispatcher& dispatcher;
  registers::RegisterProposer& proposer;
  ChangeCoordinator& coordinator;
  sessions::SessionDirectory& sessions;
  const dissemination::ConfigurationReplica& replica;
  const NodeInformation& node;
  ReplaceCore replace_core;
  /** SHA-256 hashes of the initial operators' keys, from the settings. */
  std::vector<std::string> operator_hashes;
  /** Test-only: reads return the replica's document, without a quorum. */
  bool read_unconfirmed = false;
  /** Measures the delay of the control strand; null if it is never late. */
  const metrics::StrandWatch* strand_watch = nullptr;
};

}  // namespace switchsaddle::core
