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
#include "switchsaddle/testbed/load/load_plan.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

using testbed::ProcessCondition;

constexpr int ViolationsFound = 1;
constexpr base::Duration DownLimit = std::chrono::seconds(10);

/** The command line of `switchsaddle-testbed failures`. */
struct FailuresArguments {
  FleetUp up;
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

/** Brings a fleet up, loads and disturbs it, and judges. Returns the number of violations. */
std::size_t runSeed(const FailuresArguments& arguments, std::uint64_t seed) {
  FleetUp up = arguments.up;
  up.directory += "/seed-" + std::to_string(seed);
  Fleet fleet = bringUp(up);
  const ScopedFleet scoped_fleet(fleet);
  const std::string directory = fleet.state().directory;
  const std::string fleet_file = directory + "/fleet.json";
  OrderRecord record(directory + "/orders.jsonl");
  LoadOrder load;
  load.fleet = fleet_file;
  load.load = arguments.load;
  load.record = directory + "/record.jsonl";
  load.seconds = arguments.seconds;
  load.seed = seed;
  auto loading = std::async(std::launch::async, [load] { return runLoad(load); });
  {
    FailureRun run(fleet, record, seed, arguments.kinds, tenantsOf(arguments.load));
    run.disturb(std::chrono::seconds(arguments.seconds));
    run.heal();
  }
  loading.get();
  const auto report = testbed::checkHistory(readEvidence(
      {{load.record}, directory + "/journals", directory + "/orders.jsonl", fleet_file}));
  std::cout << "seed " << seed << "\n" << testbed::formatHistoryReport(report) << std::flush;
  return report.violations.size();
}

void runFailures(const FailuresArguments& arguments) {
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
      "failures", "Load a fleet of real processes, inject faults by seed and check the history");
  command
      ->add_option("--directory", arguments->up.directory, "Folder; each seed gets its own in it")
      ->required();
  command->add_option("--layout", arguments->up.layout, "Layout file")->required();
  command->add_option("--configuration", arguments->up.configuration, "Configuration file")
      ->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--switchsaddle", arguments->up.switchsaddle,
                      "The daemon's program; the one beside this by default");
  command->add_option("--network", arguments->up.network,
                      "First two octets of every address, in place of the layout's");
  command->add_option("--seed", arguments->first_seed, "The first seed");
  command->add_option("--seeds", arguments->seeds, "How many seeds");
  command->add_option("--seconds", arguments->seconds, "How long each is loaded and disturbed");
  command->add_option("--kinds", arguments->kinds, "Disturbances to draw from; all by default")
      ->check(CLI::IsMember(failureKinds()));
  command->callback([arguments] { runFailures(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
