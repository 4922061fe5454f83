#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/configuration/maintenance.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/core/change_coordinator.h"
#include "switchsaddle/core/node_information.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/http/message.h"
#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/sessions/session_directory.h"

namespace switchsaddle::core {

/** Replaces a member of the acceptor set by a core process at another address. */
using ReplaceCore =
    std::function<void(const base::NodeAddress& old_member, const base::NodeAddress& new_member,
                       std::function<void(base::ResultCode)> callback)>;

/** What the control API works on; all of it outlives the service. */
struct ControlDependencies {
  base::Dispatcher& dispatcher;
  registers::RegisterProposer& proposer;
  ChangeCoordinator& coordinator;
  sessions::SessionDirectory& sessions;
  const dissemination::ConfigurationReplica& replica;
  const NodeInformation& node;
  ReplaceCore replace_core;
  /** Hashes of the first operators' keys, from the settings. */
  std::vector<std::string> operator_hashes;
  /** Test-only: answers reads by the replica, without a quorum. */
  bool read_unconfirmed = false;
};

/**
 * The operators' control API, without any HTTP server: takes a request, checks that an operator
 * sends it, and answers through the callback, once. Every failure is a numbered JSON error. Reads
 * of the configuration are confirmed by a quorum. Runs on the control strand.
 */
class ControlService {
 public:
  using Respond = std::function<void(http::Response)>;

  explicit ControlService(ControlDependencies dependencies);
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /** Whether the path is one of the control API's, whatever its method. */
  static bool serves(const std::string& target);
  void handle(const http::Request& request, Respond respond);

  // For interfaces beside this one; who calls them has checked who may.
  using SourceReader =
      std::function<void(base::ResultCode, const configuration::SourceDocument& source)>;
  ChangeCoordinator& coordinator() { return dependencies_.coordinator; }
  /** Reads the source document, confirmed by a quorum. */
  void readSource(SourceReader reader);

 private:
  struct Operation;

  static std::vector<Operation> makeOperations();
  static const std::vector<Operation>& operations();
  base::ResultCode authenticate(const http::Request& request) const;

  void getConfiguration(const http::Request& request, const std::string& name, Respond respond);
  void getHistory(const http::Request& request, const std::string& name, Respond respond);
  void getInForce(const http::Request& request, const std::string& name, Respond respond);
  void getStatus(const http::Request& request, const std::string& name, Respond respond);
  void getState(const http::Request& request, const std::string& name, Respond respond);
  void postChange(const http::Request& request, const std::string& name, Respond respond);
  void postEvacuation(const http::Request& request, const std::string& name, Respond respond);
  void deleteEvacuation(const http::Request& request, const std::string& name, Respond respond);
  void postKey(const http::Request& request, const std::string& name, Respond respond);
  void deleteKey(const http::Request& request, const std::string& name, Respond respond);
  // Health and maintenance, in source/control_health.cc.
  void getHealth(const http::Request& request, const std::string& name, Respond respond);
  void getWorkerHealth(const http::Request& request, const std::string& name, Respond respond);
  void getMaintenance(const http::Request& request, const std::string& name, Respond respond);
  void postNextMaintenance(const http::Request& request, const std::string& name, Respond respond);
  void postMaintenance(const http::Request& request, const std::string& name, Respond respond);
  void deleteMaintenance(const http::Request& request, const std::string& name, Respond respond);
  void submitMaintenance(configuration::MaintenanceOrder order,
                         const std::vector<configuration::Fault>& faults, Respond respond);
  void answerMaintenance(const ChangeAnswer& answer, const std::string& change_id,
                         const Respond& respond);

  void postReplacement(const http::Request& request, const std::string& name, Respond respond);

  using RegisterReader =
      std::function<void(const configuration::RegisterValue& value, const Respond& respond)>;
  /** Reads the configuration register and hands it to the reader, or answers the failure. */
  void readRegister(RegisterReader reader, Respond respond);
  void submit(const configuration::Change& change, bool dry_run, Respond respond);
  /** Submits the change of an order, or answers the faults of its body. */
  void submitOrder(const configuration::Change& change,
                   const std::vector<configuration::Fault>& faults, Respond respond);

  ControlDependencies dependencies_;
};

}  // namespace switchsaddle::core
