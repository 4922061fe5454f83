#pragma once

namespace CLI {
class App;
}

namespace switchsaddle::testbed_commands {

/** Each function adds one subcommand with its options. The subcommand runs in its callback, which
 * throws CLI::RuntimeError if the exit code is not 0. */
void addWorkerCommand(CLI::App& app);
void addPlatformCommand(CLI::App& app);
void addFleetCommand(CLI::App& app);
void addLoadCommand(CLI::App& app);
void addCheckHistoryCommand(CLI::App& app);
void addControlCommand(CLI::App& app);
void addExperimentCommand(CLI::App& app);
void addLightweightFrontsCommand(CLI::App& app);
void addChangesCommand(CLI::App& app);
void addClaimsCommand(CLI::App& app);
void addSlopesCommand(CLI::App& app);
void addFuzzCommand(CLI::App& app);
void addFailuresCommand(CLI::App& app);
void addExploreCommand(CLI::App& app);
void addSoakCommand(CLI::App& app);
void addCrowdCommand(CLI::App& app);

}  // namespace switchsaddle::testbed_commands
