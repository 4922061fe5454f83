#include <CLI/CLI.hpp>
#include <csignal>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "evidence_files.h"
#include "failure_run.h"
#include "fleet_up.h"
#include "load_run.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/process_ends.h"
#include "switchsaddle/testbed/load/load_plan.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

using testbed::ProcessCondition;

constexpr int ViolationsFound = 1;
constexpr base::Duration DownLimit = std::chrono::seconds(10);

/** The command line of `switchsaddle-testbed failures`. */
struct FailuresArguments {
  FleetStartOptions start_options;
  std::string load;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  int seconds = 30;
  std::vector<std::string> kinds = failureKinds();
};

std::vector<std::string> tenantsOf(const std::string& load_file) {
  const auto plan = testbed::parseLoadPlan(testbed::readTextFile(load_file));
  std::vector<std::string> tenants;
  for (const testbed::LoadTenant& tenant : plan.tenants) {
    tenants.push_back(tenant.name);
  }
  return tenants;
}

/** Kills every process of the fleet when it goes out of scope. */
class ScopedFleet {
 public:
  explicit ScopedFleet(Fleet& fleet) : fleet_(fleet) {}
  ~ScopedFleet() {
    try {
      fleet_.signalAll(fleet_.named({"all"}), SIGKILL, ProcessCondition::Exited, DownLimit);
    } catch (const base::Error& error) {
      std::cerr << error.what() << "\n";
    }
  }
  ScopedFleet(const ScopedFleet&) = delete;
  ScopedFleet& operator=(const ScopedFleet&) = delete;

 private:
  Fleet& fleet_;
};

/** Starts a fleet, sends load, injects failures and checks the recorded run. Returns the number of
 * violations. */
std::size_t runSeed(const FailuresArguments& arguments, std::uint64_t seed) {
  FleetStartOptions start_options = arguments.start_options;
  start_options.directory += "/seed-" + std::to_string(seed);
  Fleet fleet = bringUp(start_options);
  const ScopedFleet scoped_fleet(fleet);
  const std::string directory = fleet.state().directory;
  const std::string fleet_file = directory + "/fleet.json";
  OrderRecord record(directory + "/orders.jsonl");
  LoadOptions load;
  load.fleet = fleet_file;
  load.load = arguments.load;
  load.record = directory + "/record.jsonl";
  load.seconds = arguments.seconds;
  load.seed = seed;
  auto loading = std::async(std::launch::async, [load] { return runLoad(load); });
  {
    FailureRun run(fleet, record, seed, arguments.kinds, tenantsOf(arguments.load));
    run.injectFailures(std::chrono::seconds(arguments.seconds));
    run.recover();
  }
  loading.get();
  const auto report = testbed::checkHistory(readEvidence(
      {{load.record}, directory + "/journals", directory + "/orders.jsonl", fleet_file}));
  const std::vector<std::string> ends = testbed::processEnds().takeUnexpected();
  std::cout << "seed " << seed << "\n" << testbed::formatHistoryReport(report);
  for (const std::string& text : ends) {
    std::cout << "process: " << text << "\n";
  }
  std::cout << testbed::processEnds().summary() << std::endl;
  return report.violations.size() + ends.size();
}

void runFailures(const FailuresArguments& arguments) {
  testbed::processEnds().watch();
  std::size_t violations = 0;
  for (int index = 0; index < arguments.seeds; ++index) {
    violations += runSeed(arguments, arguments.first_seed + static_cast<std::uint64_t>(index));
  }
  std::cout << "seeds: " << arguments.seeds << ", violations: " << violations << "\n";
  if (violations > 0) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addFailuresCommand(CLI::App& app) {
  auto arguments = std::make_shared<FailuresArguments>();
  CLI::App* command = app.add_subcommand(
      "failures",
      "Send load to a fleet of real processes, inject failures by seed and check the record");
  command
      ->add_option("--directory", arguments->start_options.directory,
                   "Folder for the fleets; each seed gets a subfolder")
      ->required();
  command->add_option("--layout", arguments->start_options.layout, "Layout file of the fleet")
      ->required();
  command
      ->add_option("--configuration", arguments->start_options.configuration,
                   "Configuration file applied to the fleet")
      ->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--switchsaddle", arguments->start_options.switchsaddle,
                      "Path of the switchsaddle program (default: in the folder of this program)");
  command->add_option("--network", arguments->start_options.network,
                      "First two octets of every address (default: from the layout)");
  command->add_option("--seed", arguments->first_seed, "First seed (default 1)");
  command->add_option("--seeds", arguments->seeds, "Number of seeds (default 1)");
  command->add_option("--seconds", arguments->seconds,
                      "Time of load and failures for each seed in seconds (default 30)");
  command->add_option("--kinds", arguments->kinds, "Kinds of failures to draw from (default: all)")
      ->check(CLI::IsMember(failureKinds()));
  command->callback([arguments] { runFailures(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
