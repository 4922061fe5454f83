#include "switchsaddle/command_line/exit_code.h"

#include <array>

namespace switchsaddle::command_line {

namespace {

constexpr std::array Table{
    ExitCodeInfo{ExitCode::Done, "Done", "Done, and in force on every front where it is a change."},
    ExitCodeInfo{ExitCode::Refused, "Refused",
                 "Refused or faulty, nothing was changed; for compare, the nodes differ."},
    ExitCodeInfo{ExitCode::Usage, "Usage", "The command line is wrong."},
    ExitCodeInfo{ExitCode::NotYetInForce, "NotYetInForce",
                 "Committed, but not yet in force on every front."},
    ExitCodeInfo{ExitCode::Unknown, "Unknown",
                 "No node answered; send a change again with its change id."},
    ExitCodeInfo{ExitCode::EndedAtOnce, "EndedAtOnce",
                 "A daemon ended at once on a second signal."},
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
