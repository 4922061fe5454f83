#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/source_document.h"

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

/** Commits changes of the configuration, idempotently, and waits until they are in force. */
class ChangeCoordinator {
 public:
  virtual ~ChangeCoordinator() = default;
  /** @param dry_run whether to only check the change against the present value. */
  virtual void submit(const configuration::Change& change, bool dry_run,
                      std::function<void(const ChangeAnswer&)> callback) = 0;
  /** Replaces the source document. */
  virtual void submitSource(const configuration::SourceUpdate& update,
                            std::function<void(const ChangeAnswer&)> callback) = 0;
  using Decide =
      std::function<configuration::ChangeDecision(const configuration::RegisterValue& present)>;
  /**
   * Commits the decision that a function makes on the present value.
   *
   * @param decide may be called more than once.
   * @param change_id identifies the recorded decision.
   */
  virtual void submitOrder(Decide decide, const std::string& change_id,
                           std::function<void(const ChangeAnswer&)> callback) = 0;
  /** Evacuates a zone, or ends its evacuation. No effect on a zone already in that state. */
  virtual void submitEvacuation(const std::string& zone, bool evacuated,
                                std::function<void(const ChangeAnswer&)> callback) = 0;
};

}  // namespace switchsaddle::core
