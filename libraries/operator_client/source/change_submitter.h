#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "outcome_reporter.h"
#include "switchsaddle/operator_client/operator_client.h"

namespace switchsaddle::operator_client {

/** Submits configuration changes and determines the base version of new and repeated ones. */
class ChangeSubmitter {
 public:
  ChangeSubmitter(ControlEndpoint& endpoint, OutcomeReporter& reporter);

  /**
   * Submits a change and reports its outcome.
   * @param members JSON members of the change besides its id and base version, without braces.
   */
  ExitCode submit(const std::string& members, const ChangeOptions& options);

 private:
  /** @return the base version; std::nullopt, with the failure reported, if it is unavailable. */
  std::optional<std::uint64_t> findBaseVersion(const ChangeOptions& options);
  /** @return the base version of a committed change; std::nullopt if the history lacks it. */
  std::optional<std::uint64_t> baseFromHistory(const std::string& change_id);

  ControlEndpoint& endpoint_;
  OutcomeReporter& reporter_;
};

/** @return the given change_id, or a new one if it is empty. */
std::string changeIdOrNew(const std::string& change_id);

/** @return the instruction how to repeat the change with this id. */
std::string retryHint(const std::string& change_id);

}  // namespace switchsaddle::operator_client
