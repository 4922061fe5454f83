#include <CLI/CLI.hpp>

#include "check_command.h"
#include "command_runner.h"
#include "ctl_command.h"
#include "information_commands.h"
#include "role_commands.h"
#include "switchsaddle/command_line/command_line.h"

namespace {

void addCommands(CLI::App& app, int& exit_code) {
  switchsaddle::addCoreCommand(app, exit_code);
  switchsaddle::addFrontCommand(app, exit_code);
  switchsaddle::addCtlCommand(app, exit_code);
  switchsaddle::addCheckCommand(app, exit_code);
  switchsaddle::addInformationCommands(app);
  switchsaddle::command_line::describeUse(
      app, {"switchsaddle front --settings front.json", "switchsaddle ctl --help",
            "switchsaddle check configuration.json"});
}

}  // namespace

/** Entry point of the daemons and of the operators' commands, which are subcommands. */
int main(int argument_count, char** arguments) {
  return switchsaddle::runCommand(argument_count, arguments, addCommands);
}
