#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "commands.h"

/** Entry of the laboratory: stand-ins, load and experiments. Never installed. */
int main(int argument_count, char** arguments) {
  CLI::App app{"switchsaddle-lab: stand-ins and experiments for switchsaddle"};
  app.require_subcommand(1);
  switchsaddle::lab::addWorkerCommand(app);
  switchsaddle::lab::addPlatformCommand(app);
  switchsaddle::lab::addFleetCommand(app);
  switchsaddle::lab::addLoadCommand(app);
  switchsaddle::lab::addJudgeCommand(app);
  switchsaddle::lab::addControlCommand(app);
  switchsaddle::lab::addExperimentCommand(app);
  switchsaddle::lab::addHollowCommand(app);
  switchsaddle::lab::addChangesCommand(app);
  switchsaddle::lab::addClaimsCommand(app);
  switchsaddle::lab::addSlopesCommand(app);
  switchsaddle::lab::addFuzzCommand(app);
  switchsaddle::lab::addFailuresCommand(app);
  try {
    CLI11_PARSE(app, argument_count, arguments);
  } catch (const std::exception& error) {
    std::cerr << "switchsaddle-lab: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
