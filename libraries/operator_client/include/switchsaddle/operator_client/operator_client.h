#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/command_line/exit_code.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/operator_client/control_endpoint.h"

namespace switchsaddle::operator_client {

using command_line::ExitCode;

/** What belongs to every change. */
struct ChangeOptions {
  /** Empty: a new random one. */
  std::string change_id;
  /** Missing: that of the history for a given change_id, else the version in force. */
  std::optional<std::uint64_t> base_version;
  bool dry_run = false;
};

/** A key to be added. */
struct KeyOptions {
  std::string tenant;
  std::string id;
  std::string sha256;
  std::string change_id;
};

/**
 * The actions of `switchsaddle ctl`. Each asks the fleet, writes the answer for people or as JSON,
 * and returns the exit code. Refusals list every fault. Not thread-safe.
 */
class OperatorClient {
 public:
  OperatorClient(ControlEndpoint& endpoint, bool json, std::ostream& out, std::ostream& errors);

  /** Applies the text of a configuration file; with `whole`, entries it lacks are removed. */
  ExitCode apply(const std::string& text, bool whole, const ChangeOptions& options);
  ExitCode set(const std::string& path, const std::string& json, const ChangeOptions& options);
  ExitCode remove(const std::string& path, const ChangeOptions& options);
  /** Reads a resource and shows it: history, in-force, status. */
  ExitCode show(const std::string& target);
  /** The routing table of the node that answers; with a model, that model's alone. */
  ExitCode showRouting(const std::string& model);
  /** The configuration as a file that `apply` takes. */
  ExitCode get();
  ExitCode evacuate(const std::string& zone, const std::string& change_id);
  ExitCode restore(const std::string& zone, const std::string& change_id);
  ExitCode addKey(const KeyOptions& options);
  ExitCode revokeKey(const std::string& id, const std::string& change_id);
  ExitCode compare(const base::NodeAddress& first, const base::NodeAddress& second);
  /** One worker's evidence. */
  ExitCode showWorkerHealth(const std::string& worker);
  /** Takes the sickest worker out that may be missed. */
  ExitCode maintainNext(const std::string& change_id);
  ExitCode startMaintenance(const std::string& worker, const std::string& change_id);
  ExitCode finishMaintenance(const std::string& worker, const std::string& change_id);
  ExitCode replaceCore(const base::NodeAddress& old_member, const base::NodeAddress& new_member);

 private:
  struct Submission {
    std::string members;
    ChangeOptions options;
  };
  ExitCode submit(const Submission& submission);
  /** An order that names nothing but its change_id in the body. */
  ExitCode order(const std::string& target, const std::string& change_id);
  ExitCode endOrder(const std::string& target, const std::string& change_id);
  std::optional<std::uint64_t> findBaseVersion(const ChangeOptions& options);
  std::optional<std::uint64_t> baseFromHistory(const std::string& change_id);
  std::optional<configuration::StateReport> fetchState(const base::NodeAddress& address);
  ExitCode report(const ControlOutcome& outcome, const std::string& resend_hint);
  ExitCode reportFailure(const ControlOutcome& outcome, const std::string& resend_hint);

  ControlEndpoint& endpoint_;
  bool json_;
  std::ostream& out_;
  std::ostream& errors_;
};

/** A change_id that nobody else makes: 128 random bits. */
std::string makeChangeId();

}  // namespace switchsaddle::operator_client
