#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "commands.h"

/** Entry point of the test bed: fakes, load, checks and experiments. Not installed. */
int main(int argument_count, char** arguments) {
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
