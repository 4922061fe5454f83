#pragma once

#include <span>
#include <string>
#include <string_view>

namespace switchsaddle::command_line {

/** Exit codes of `switchsaddle`; docs/OPERATIONS.md contains the same table. */
enum class ExitCode : int {
  /** Success; a change is in force on every front. */
  Done = 0,
  /** Rejected or faulty; nothing was changed. For `compare`: the nodes differ. */
  Refused = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** The change is committed, but not yet in force on every front. */
  NotYetInForce = 3,
  /** No node answered; a change may have been committed. Retry with the same change_id. */
  Unknown = 4,
  /** A second SIGINT ended a daemon during its graceful shutdown. */
  EndedAtOnce = 130,
};

/** Properties of an exit code. */
struct ExitCodeInfo {
  ExitCode code;
  std::string_view name;
  std::string_view meaning;
};

/** @return all exit codes in numeric order. */
std::span<const ExitCodeInfo> exitCodeTable();

/** @return the exit codes as the footer of a help text, one per line. */
std::string exitCodeHelp();

}  // namespace switchsaddle::command_line
