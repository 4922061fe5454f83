#pragma once

#include <span>
#include <string>
#include <string_view>

namespace switchsaddle::command_line {

/** Exit codes of `switchsaddle`; docs/OPERATIONS.md has the same table. */
enum class ExitCode : int {
  /** Done, and in force on every front where it was a change. */
  Done = 0,
  /** Refused or faulty; nothing was changed. For `compare`: the nodes differ. */
  Refused = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** Committed, but not yet in force on every front. */
  NotYetInForce = 3,
  /** No node answered; a change may have been committed. Send it again with its change_id. */
  Unknown = 4,
  /** A daemon ended at once on a second signal. */
  EndedAtOnce = 130,
};

/** One row of the table of exit codes. */
struct ExitCodeInfo {
  ExitCode code;
  std::string_view name;
  std::string_view meaning;
};

/** All exit codes in numeric order. */
std::span<const ExitCodeInfo> exitCodeTable();

/** The table as the footer of a help text, a line for each code. */
std::string exitCodeHelp();

}  // namespace switchsaddle::command_line
