#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <string_view>

#include "command_runner.h"
#include "commands.h"
#include "role_commands.h"
#include "switchsaddle/testbed/disk/faulty_disk.h"

namespace {

using switchsaddle::testbed::FaultyDisk;

std::unique_ptr<switchsaddle::storage::FileSystem> openFaultyDisk(const std::string& data_folder) {
  return std::make_unique<FaultyDisk>(switchsaddle::openDisk(data_folder),
                                      switchsaddle::testbed::diskFaultsFile(data_folder));
}

/** The daemons of the product; a core runs on a disk that can be faulty. */
void addDaemons(CLI::App& app, int& exit_code) {
  switchsaddle::addCoreCommand(app, exit_code, openFaultyDisk);
  switchsaddle::addFrontCommand(app, exit_code);
}

bool namesDaemon(int argument_count, char** arguments) {
  const std::string_view command = argument_count > 1 ? arguments[1] : "";
  return command == "core" || command == "front";
}

}  // namespace

/** Entry point of the test bed: fakes, load, checks and experiments. Not installed. */
int main(int argument_count, char** arguments) {
  if (namesDaemon(argument_count, arguments)) {
    return switchsaddle::runCommand(argument_count, arguments, addDaemons);
  }
  CLI::App app{"switchsaddle-testbed: fake workers, load, checks and experiments for switchsaddle"};
  app.require_subcommand(1);
  switchsaddle::testbed_commands::addWorkerCommand(app);
  switchsaddle::testbed_commands::addPlatformCommand(app);
  switchsaddle::testbed_commands::addFleetCommand(app);
  switchsaddle::testbed_commands::addLoadCommand(app);
  switchsaddle::testbed_commands::addCheckHistoryCommand(app);
  switchsaddle::testbed_commands::addControlCommand(app);
  switchsaddle::testbed_commands::addExperimentCommand(app);
  switchsaddle::testbed_commands::addLightweightFrontsCommand(app);
  switchsaddle::testbed_commands::addChangesCommand(app);
  switchsaddle::testbed_commands::addClaimsCommand(app);
  switchsaddle::testbed_commands::addSlopesCommand(app);
  switchsaddle::testbed_commands::addFuzzCommand(app);
  switchsaddle::testbed_commands::addFailuresCommand(app);
  switchsaddle::testbed_commands::addSoakCommand(app);
  switchsaddle::testbed_commands::addCrowdCommand(app);
  switchsaddle::testbed_commands::addExploreCommand(app);
  try {
    CLI11_PARSE(app, argument_count, arguments);
  } catch (const std::exception& error) {
    std::cerr << "switchsaddle-testbed: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
