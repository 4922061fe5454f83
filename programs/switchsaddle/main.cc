#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "check_command.h"
#include "ctl_command.h"
#include "role_commands.h"
#include "switchsaddle/base/error.h"

namespace {

constexpr const char* Version = "0.1.0";
constexpr int FaultExitCode = 1;

int report(const switchsaddle::base::Error& error) {
  const switchsaddle::base::ResultCodeInfo& info = switchsaddle::base::describe(error.code());
  std::cerr << "switchsaddle: " << static_cast<int>(info.code) << " " << info.name << ": "
            << error.what() << "\n";
  return FaultExitCode;
}

}  // namespace

/** Entry of the daemon and operator binary: the role is a subcommand. */
int main(int argument_count, char** arguments) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(arguments[0]);
  CLI::App app{"switchsaddle: a router fleet for language model sessions"};
  app.require_subcommand(1);
  int exit_code = 0;
  switchsaddle::addCoreCommand(app, exit_code);
  switchsaddle::addFrontCommand(app, exit_code);
  switchsaddle::addCtlCommand(app, exit_code);
  switchsaddle::addCheckCommand(app, exit_code);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::cout << Version << "\n";
  });
  try {
    CLI11_PARSE(app, argument_count, arguments);
  } catch (const switchsaddle::base::Error& error) {
    return report(error);
  } catch (const std::exception& exception) {
    return report(
        switchsaddle::base::Error(switchsaddle::base::ResultCode::InternalError, exception.what()));
  }
  return exit_code;
}
