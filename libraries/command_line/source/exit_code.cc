#include "switchsaddle/command_line/exit_code.h"

#include <array>

namespace switchsaddle::command_line {

namespace {

constexpr std::array Table{
    ExitCodeInfo{ExitCode::Done, "Done", "Success; a change is in force on every front."},
    ExitCodeInfo{ExitCode::Refused, "Refused",
                 "Rejected or invalid, and nothing was changed; for compare, the nodes differ."},
    ExitCodeInfo{ExitCode::Usage, "Usage", "The command line is invalid."},
    ExitCodeInfo{ExitCode::NotYetInForce, "NotYetInForce",
                 "The change is committed, but not yet in force on every front."},
    ExitCodeInfo{ExitCode::Unknown, "Unknown",
                 "No node responded; retry a change with the same change id."},
    ExitCodeInfo{ExitCode::EndedAtOnce, "EndedAtOnce",
                 "A second SIGINT ended a daemon during its graceful shutdown."},
};

}  // namespace

std::span<const ExitCodeInfo> exitCodeTable() {
  return Table;
}

std::string exitCodeHelp() {
  std::string text = "Exit codes:";
  for (const ExitCodeInfo& info : Table) {
    text += "\n  " + std::to_string(static_cast<int>(info.code)) + "  " + std::string(info.meaning);
  }
  return text;
}

}  // namespace switchsaddle::command_line
