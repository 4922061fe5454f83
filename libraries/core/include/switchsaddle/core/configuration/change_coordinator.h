#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/source_document.h"
#include "switchsaddle/http/client_presence.h"

namespace switchsaddle::core {

/** The outcome of a change, as reported to the operator. */
struct ChangeAnswer {
  /**
   * Ok: committed and in force. CommittedNotYetInForce: committed. NoQuorum: unknown. Any other
   * code: not committed.
   */
  base::ResultCode code = base::ResultCode::NoQuorum;
  /** The version that the change created, or the version in force for a conflict. */
  std::uint64_t version = 0;
  std::vector<configuration::Fault> faults;
  /** Whether this is the recorded outcome of an earlier submission of the change. */
  bool repeated = false;
};

/** What is known of the caller that gave an order. */
struct Caller {
  /** The earliest time at which the order may have reached this node. */
  base::TimePoint arrived_at;
  /** Its connection to this node; null if another node passed the order on. */
  http::ClientPresencePtr connection;
};

/**
 * Commits changes of the configuration, idempotently, and waits until they are in force.
 *
 * A change that names its base version is fenced by it. One that applies to any version, such as an
 * evacuation, is committed only while its caller waits for it: later, the caller may have given the
 * order elsewhere and newer ones after it, which it would undo. It then ends with OrderExpired.
 */
class ChangeCoordinator {
 public:
  virtual ~ChangeCoordinator() = default;
  /** @param dry_run whether to only check the change against the present value. */
  virtual void submit(const configuration::Change& change, bool dry_run, const Caller& caller,
                      std::function<void(const ChangeAnswer&)> callback) = 0;
  /** @return whether an order may still be carried out for this caller. */
  virtual bool isAwaited(const Caller& caller) const = 0;
  /** Replaces the source document. */
  virtual void submitSource(const configuration::SourceUpdate& update,
                            std::function<void(const ChangeAnswer&)> callback) = 0;
  using Decide =
      std::function<configuration::ChangeDecision(const configuration::RegisterValue& present)>;
  /**
   * Commits the decision that a function makes on the present value, whatever its version.
   *
   * @param decide may be called more than once.
   * @param change_id identifies the recorded decision.
   */
  virtual void submitOrder(Decide decide, const std::string& change_id, const Caller& caller,
                           std::function<void(const ChangeAnswer&)> callback) = 0;
  /** Evacuates a zone, or ends its evacuation. No effect on a zone already in that state. */
  virtual void submitEvacuation(const std::string& zone, bool evacuated, const Caller& caller,
                                std::function<void(const ChangeAnswer&)> callback) = 0;
};

}  // namespace switchsaddle::core
