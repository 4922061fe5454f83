#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/command_line/exit_code.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/operator_client/control_endpoint.h"

namespace switchsaddle::operator_client {

using command_line::ExitCode;

class ChangeSubmitter;
class OutcomeReporter;

/** Options of a configuration change. */
struct ChangeOptions {
  /** Idempotency key; a random one is generated if it is empty. */
  std::string change_id;
  /**
   * Default: the original base version if the history contains the change_id, else the version in
   * force.
   */
  std::optional<std::uint64_t> base_version;
  bool dry_run = false;
};

/** A key to be added. */
struct KeyOptions {
  std::string tenant;
  /** If empty, the server derives the id from the change_id. */
  std::string id;
  /** SHA-256 of the secret; if empty, the server generates the secret. */
  std::string sha256;
  /** Idempotency key; a random one is generated if it is empty. */
  std::string change_id;
};

/**
 * The actions of `switchsaddle ctl`. Each sends requests to the fleet, writes the response as
 * tables or as JSON, and returns the exit code. Rejections list all faults. Not thread-safe.
 */
class OperatorClient {
 public:
  /** @param json write responses as JSON. All references must outlive this. */
  OperatorClient(ControlEndpoint& endpoint, bool json, std::ostream& out, std::ostream& errors);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /**
   * Applies a configuration file.
   * @param replace_all remove the entries that the file does not contain.
   */
  ExitCode apply(const std::string& text, bool replace_all, const ChangeOptions& options);
  /** Sets one entry. @param json its value. */
  ExitCode set(const std::string& path, const std::string& json, const ChangeOptions& options);
  /** Removes one entry. */
  ExitCode remove(const std::string& path, const ChangeOptions& options);
  /** Shows a resource of the control API. */
  ExitCode show(const std::string& target);
  /** Shows the routing table of the node that responds. @param model empty for all models. */
  ExitCode showRouting(const std::string& model);
  /** Writes the configuration as a file that apply() accepts. */
  ExitCode get();
  /** Evacuates a zone. */
  ExitCode evacuate(const std::string& zone, const std::string& change_id);
  /** Ends the evacuation of a zone. */
  ExitCode restore(const std::string& zone, const std::string& change_id);
  ExitCode addKey(const KeyOptions& options);
  ExitCode revokeKey(const std::string& id, const std::string& change_id);
  /** Shows the differences between the states of two nodes. */
  ExitCode compare(const base::NodeAddress& first, const base::NodeAddress& second);
  /** Shows the health data of one worker. */
  ExitCode showWorkerHealth(const std::string& worker);
  /** Puts the least healthy worker that its pool can spare into maintenance. */
  ExitCode maintainNext(const std::string& change_id);
  /** Puts a worker into maintenance. */
  ExitCode startMaintenance(const std::string& worker, const std::string& change_id);
  /** Ends the maintenance of a worker. */
  ExitCode finishMaintenance(const std::string& worker, const std::string& change_id);
  /** Replaces a lost core member by an empty core node. */
  ExitCode replaceCore(const base::NodeAddress& old_member, const base::NodeAddress& new_member);

 private:
  /** Sends a POST whose body contains only the change_id. */
  ExitCode postWithChangeId(const std::string& target, const std::string& change_id);
  /** Sends a DELETE with the change_id as a query parameter. */
  ExitCode deleteWithChangeId(const std::string& target, const std::string& change_id);
  /** @return the node's state; std::nullopt, with the failure reported, if it is unavailable. */
  std::optional<configuration::StateReport> fetchState(const base::NodeAddress& address);

  ControlEndpoint& endpoint_;
  bool json_;
  std::ostream& out_;
  std::unique_ptr<OutcomeReporter> reporter_;
  std::unique_ptr<ChangeSubmitter> submitter_;
};

/** @return a new change_id with 128 random bits. */
std::string makeChangeId();

}  // namespace switchsaddle::operator_client
