#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "check_command.h"
#include "ctl_command.h"
#include "information_commands.h"
#include "role_commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/log_writer.h"
#include "switchsaddle/command_line/command_line.h"

namespace {

using switchsaddle::command_line::ExitCode;

int report(const switchsaddle::base::Error& error) {
  const switchsaddle::base::ResultCodeInfo& info = switchsaddle::base::describe(error.code());
  switchsaddle::base::writeLogLine("switchsaddle: " + std::to_string(static_cast<int>(info.code)) +
                                   " " + std::string(info.name) + ": " + error.what());
  return static_cast<int>(ExitCode::Refused);
}

int runCommand(int argument_count, char** arguments) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(arguments[0]);
  CLI::App app{"switchsaddle: a router fleet for language model sessions", "switchsaddle"};
  app.require_subcommand(1);
  int exit_code = 0;
  switchsaddle::addCoreCommand(app, exit_code);
  switchsaddle::addFrontCommand(app, exit_code);
  switchsaddle::addCtlCommand(app, exit_code);
  switchsaddle::addCheckCommand(app, exit_code);
  switchsaddle::addInformationCommands(app);
  switchsaddle::command_line::describeUse(
      app, {"switchsaddle front --settings front.json", "switchsaddle ctl --help",
            "switchsaddle check configuration.json"});
  try {
    const auto ended =
        switchsaddle::command_line::parse(app, argument_count, arguments, std::cout, std::cerr);
    return ended ? static_cast<int>(*ended) : exit_code;
  } catch (const switchsaddle::base::Error& error) {
    return report(error);
  } catch (const std::exception& exception) {
    return report(
        switchsaddle::base::Error(switchsaddle::base::ResultCode::InternalError, exception.what()));
  }
}

}  // namespace

/** Entry point of the daemons and of the operators' commands, which are subcommands. */
int main(int argument_count, char** arguments) {
  const int exit_code = runCommand(argument_count, arguments);
  switchsaddle::base::flushProcessLog();
  return exit_code;
}
