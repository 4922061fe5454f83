#include "switchsaddle/command_line/command_line.h"

#include <ostream>

namespace switchsaddle::command_line {

std::optional<ExitCode> parse(CLI::App& app, int argument_count, const char* const* arguments,
                              std::ostream& out, std::ostream& errors) {
  try {
    app.parse(argument_count, arguments);
  } catch (const CLI::ParseError& error) {
    const bool is_help = app.exit(error, out, errors) == 0;
    return is_help ? ExitCode::Done : ExitCode::Usage;
  }
  return std::nullopt;
}

void describeUse(CLI::App& command, std::initializer_list<std::string> examples) {
  std::string text = "Examples:";
  for (const std::string& example : examples) {
    text += "\n  " + example;
  }
  command.footer(text + "\n\n" + exitCodeHelp());
}

}  // namespace switchsaddle::command_line
