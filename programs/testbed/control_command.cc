#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <string>

#include "commands.h"
#include "switchsaddle/scenarios/control_sweep.h"

namespace switchsaddle::testbed_commands {

namespace {

/** Maximum number of violations printed for one seed. */
constexpr std::size_t ViolationsShown = 5;

/** The command line of `switchsaddle-testbed control`. */
struct ControlArguments {
  std::uint64_t seeds = 100;
  std::uint64_t first_seed = 1;
  std::uint64_t changes = 0;
  std::uint64_t fronts = 3;
  std::string off;
};

/** Totals over all seeds. */
struct Totals {
  std::uint64_t failed_seeds = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t faults = 0;
  base::Duration longest_recovery{};
};

scenarios::ConfigurationScenarioOptions optionsOf(const ControlArguments& arguments,
                                                  std::uint64_t seed) {
  scenarios::ConfigurationScenarioOptions options = scenarios::optionsForSeed(seed);
  options.size.fronts = arguments.fronts;
  if (arguments.changes != 0) {
    options.changes = arguments.changes;
    options.fault_time = std::chrono::hours(1);
    options.fault_pause = std::chrono::seconds(6);
  }
  if (!arguments.off.empty()) {
    scenarios::disableMechanism(arguments.off, options);
  }
  return options;
}

void printHeader() {
  std::cout << "seed,acknowledged,conflicts,resends,repetitions,faults,dispatches,unknown_keys,"
               "refusals,trouble_ms,recovery_ms,violations\n";
}

void printRow(std::uint64_t seed, const scenarios::ConfigurationScenarioResult& result) {
  std::cout << seed << ',' << result.acknowledged << ',' << result.conflicts << ','
            << result.resends << ',' << result.repetitions << ',' << result.faults << ','
            << result.dispatches << ',' << result.unknown_keys << ',' << result.refusals << ','
            << base::toMilliseconds(result.fault_time) << ','
            << base::toMilliseconds(result.recovery) << ',' << result.violations.size() << '\n';
  const std::size_t shown = std::min(result.violations.size(), ViolationsShown);
  for (std::size_t index = 0; index < shown; ++index) {
    std::cout << "# seed " << seed << ": " << result.violations[index] << '\n';
  }
}

void addTo(Totals& totals, const scenarios::ConfigurationScenarioResult& result) {
  totals.failed_seeds += result.violations.empty() ? 0 : 1;
  totals.acknowledged += result.acknowledged;
  totals.dispatches += result.dispatches;
  totals.faults += result.faults;
  totals.longest_recovery = std::max(totals.longest_recovery, result.recovery);
}

void run(const ControlArguments& arguments) {
  Totals totals;
  printHeader();
  const std::uint64_t end = arguments.first_seed + arguments.seeds;
  for (std::uint64_t seed = arguments.first_seed; seed < end; ++seed) {
    scenarios::ConfigurationScenario scenario(optionsOf(arguments, seed));
    const scenarios::ConfigurationScenarioResult result = scenario.run();
    printRow(seed, result);
    addTo(totals, result);
  }
  std::cout << "# " << arguments.seeds << " seeds, " << totals.failed_seeds << " with violations; "
            << totals.acknowledged << " changes acknowledged, " << totals.dispatches
            << " dispatches, " << totals.faults << " faults, longest recovery "
            << base::toMilliseconds(totals.longest_recovery) << " ms\n";
  if (totals.failed_seeds != 0) {
    throw CLI::RuntimeError(1);
  }
}

}  // namespace

void addControlCommand(CLI::App& app) {
  CLI::App* command = app.add_subcommand(
      "control", "Simulate the control plane with injected faults for several seeds; print CSV");
  command->footer("Example: switchsaddle-testbed control --seeds 1000");
  const auto arguments = std::make_shared<ControlArguments>();
  command->add_option("--seeds", arguments->seeds, "Number of seeds (default 100)");
  command->add_option("--first-seed", arguments->first_seed, "First seed (default 1)");
  command->add_option("--changes", arguments->changes,
                      "Number of acknowledged changes after which fault injection ends "
                      "(default 0: after 30 seconds)");
  command->add_option("--fronts", arguments->fronts, "Number of fronts (default 3)");
  command->add_option("--off", arguments->off, "Mechanism to disable (default: none)")
      ->check(CLI::IsMember(scenarios::mechanisms()));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
