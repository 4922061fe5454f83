#include "command_runner.h"

#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/log_writer.h"
#include "switchsaddle/command_line/command_line.h"

namespace switchsaddle {

namespace {

using command_line::ExitCode;

int report(const base::Error& error) {
  const base::ResultCodeInfo& info = base::describe(error.code());
  base::writeLogLine("switchsaddle: " + std::to_string(static_cast<int>(info.code)) + " " +
                     std::string(info.name) + ": " + error.what());
  return static_cast<int>(ExitCode::Refused);
}

int parseAndRun(CLI::App& app, const int& exit_code, int argument_count, char** arguments) {
  try {
    const auto ended = command_line::parse(app, argument_count, arguments, std::cout, std::cerr);
    return ended ? static_cast<int>(*ended) : exit_code;
  } catch (const base::Error& error) {
    return report(error);
  } catch (const std::exception& exception) {
    return report(base::Error(base::ResultCode::InternalError, exception.what()));
  }
}

}  // namespace

int runCommand(int argument_count, char** arguments, const AddCommands& add_commands) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(arguments[0]);
  CLI::App app{"switchsaddle: a router fleet for language model sessions", "switchsaddle"};
  app.require_subcommand(1);
  int exit_code = 0;
  add_commands(app, exit_code);
  exit_code = parseAndRun(app, exit_code, argument_count, arguments);
  base::flushProcessLog();
  return exit_code;
}

}  // namespace switchsaddle
