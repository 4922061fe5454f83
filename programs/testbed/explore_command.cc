#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/scenarios/core_exploration.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr int ViolationsFound = 1;
constexpr const char* StalledChangeMonitor = "stalled-change-monitor";
constexpr const char* InitialCores = "initial-cores";
constexpr const char* ExpiryOfOrders = "expiry-of-orders";

/** The command line of `switchsaddle-testbed explore`. */
struct ExploreArguments {
  std::string scenario;
  exploration::ExplorationOptions options;
  std::vector<std::string> kinds;
  std::vector<std::string> without;
  std::string schedule;
};

core::CoreFaults faultsOf(const std::vector<std::string>& without) {
  core::CoreFaults faults;
  for (const std::string& mechanism : without) {
    faults.ignore_stalled_set_changes |= mechanism == StalledChangeMonitor;
    faults.withhold_initial_cores |= mechanism == InitialCores;
    faults.carry_out_expired_orders |= mechanism == ExpiryOfOrders;
  }
  return faults;
}

/** Prints the messages of a run, its deviations marked. @return whether it violates an invariant.
 */
bool printRun(const exploration::Scenario& scenario, const exploration::Schedule& schedule) {
  const exploration::RunReport run = scenario.run(schedule, true);
  for (const std::string& line : run.trace) {
    std::cout << line << "\n";
  }
  const std::string verdict = run.violation.empty() ? "no violation" : run.violation;
  std::cout << "schedule \"" << exploration::scheduleText(schedule) << "\": " << verdict
            << std::endl;
  return !run.violation.empty();
}

bool exploreAll(const exploration::Scenario& scenario, const ExploreArguments& arguments) {
  const auto began = std::chrono::steady_clock::now();
  const exploration::ExplorationReport report = exploration::explore(scenario, arguments.options);
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - began;
  for (const exploration::FoundViolation& found : report.violations) {
    printRun(scenario, exploration::minimized(scenario, found.schedule));
  }
  std::cout << scenario.name() << ": runs=" << report.runs << " equal=" << report.equal_runs
            << " states=" << report.states << " depth=" << report.depth
            << " seconds=" << taken.count()
            << " states_per_s=" << static_cast<double>(report.states) / taken.count()
            << " violations=" << report.violations.size() << std::endl;
  return !report.violations.empty();
}

void runExplore(ExploreArguments& arguments) {
  const auto scenario = scenarios::coreScenario(arguments.scenario, faultsOf(arguments.without));
  if (!arguments.kinds.empty()) {
    arguments.options.kinds.clear();
    for (const std::string& kind : arguments.kinds) {
      arguments.options.kinds.push_back(exploration::parseDeviationKind(kind));
    }
  }
  const bool violated = arguments.schedule.empty()
                            ? exploreAll(*scenario, arguments)
                            : printRun(*scenario, exploration::parseSchedule(arguments.schedule));
  if (violated) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addExploreCommand(CLI::App& app) {
  auto arguments = std::make_shared<ExploreArguments>();
  CLI::App* command = app.add_subcommand(
      "explore", "Run a scenario of the cores under every schedule of losses and crashes");
  command->add_option("--scenario", arguments->scenario, "Name of the scenario")
      ->required()
      ->check(CLI::IsMember(scenarios::coreScenarioNames()));
  command
      ->add_option("--deviations", arguments->options.deviations,
                   "Maximum number of deviations in a run (default 1)")
      ->check(CLI::Range(0, 3));
  command->add_option("--kinds", arguments->kinds, "Kinds of deviations (default: all)");
  command->add_option("--lost-disks", arguments->options.lost_disks,
                      "Maximum number of disks that a run loses (default 1)");
  command->add_option("--shard", arguments->options.shard, "Part to explore (default 0)");
  command->add_option("--shards", arguments->options.shards, "Number of parts (default 1)")
      ->check(CLI::PositiveNumber);
  command
      ->add_option("--violations", arguments->options.maximum_violations,
                   "Stop after this many violations (default 1)")
      ->check(CLI::PositiveNumber);
  command->add_option("--without", arguments->without, "Mechanisms to switch off (default: none)")
      ->check(CLI::IsMember({StalledChangeMonitor, InitialCores, ExpiryOfOrders}));
  command->add_option("--schedule", arguments->schedule,
                      "Run this schedule only and print its messages, e.g. 12:kill-sender");
  command->callback([arguments] { runExplore(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
