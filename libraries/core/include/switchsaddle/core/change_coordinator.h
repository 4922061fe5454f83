#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/source_document.h"

namespace switchsaddle::core {

/** What an operator is told of a change. */
struct ChangeAnswer {
  /** Ok: acknowledged. CommittedNotYetInForce: committed. Else not committed, or NoQuorum: not
   * known. */
  base::ResultCode code = base::ResultCode::NoQuorum;
  /** The version the change made, or the version in force for a conflict. */
  std::uint64_t version = 0;
  std::vector<configuration::Fault> faults;
  /** Whether this repeats the recorded answer of an earlier sending. */
  bool repeated = false;
};

/** Commits changes of the configuration and waits until they are in force. */
class ChangeCoordinator {
 public:
  virtual ~ChangeCoordinator() = default;
  virtual void submit(const configuration::Change& change, bool dry_run,
                      std::function<void(const ChangeAnswer&)> callback) = 0;
  virtual void submitSource(const configuration::SourceUpdate& update,
                            std::function<void(const ChangeAnswer&)> callback) = 0;
  using Decide =
      std::function<configuration::ChangeDecision(const configuration::RegisterValue& present)>;
  /** Commits what the function decides of the present value; it may run more than once.
   * `change_id` is that under which the decision is recorded. */
  virtual void submitOrder(Decide decide, const std::string& change_id,
                           std::function<void(const ChangeAnswer&)> callback) = 0;
  /** Empties a zone, or lets it take work again; once more for a zone in that state is no change.
   */
  virtual void submitEvacuation(const std::string& zone, bool evacuated,
                                std::function<void(const ChangeAnswer&)> callback) = 0;
};

}  // namespace switchsaddle::core
