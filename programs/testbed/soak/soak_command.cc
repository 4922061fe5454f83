#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "soak/memory_watch.h"
#include "soak/soak_disturbances.h"
#include "soak/soak_fleet.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/process_ends.h"

namespace switchsaddle::testbed_commands {
namespace {

namespace files = std::filesystem;

constexpr int ViolationsFound = 1;
constexpr unsigned MegabyteBits = 20;
/** The second octet of the loopback networks of the seeds begins here. */
constexpr std::uint64_t FirstNetwork = 100;
constexpr std::uint64_t Networks = 100;
/** Time for which requests go on after the last disturbance. */
constexpr base::Duration CalmTime = std::chrono::seconds(2);
constexpr int LastReads = 10;
constexpr base::Duration UntoldEndLimit = std::chrono::seconds(10);

/** The command line of `switchsaddle-testbed soak`. */
struct SoakArguments {
  SoakFleetOptions fleet;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  int seconds = 30;
  int clients = 40;
  int client_pause_ms = 100;
  int disturbers = 4;
  bool sound_workers = false;
  bool plain_launches = false;
  bool unchecked_memory = false;
  std::uint64_t address_space_mb = 0;
  std::uint64_t memory_mb = 0;
  /** Processes that are ended without the checker being told, to show that it sees their end. */
  int untold_ends = 0;
  std::vector<std::string> kinds = soakDisturbanceKinds();
};

/** @return the settings' "limits" of every daemon. */
std::string limitsOf(const SoakArguments& arguments) {
  boost::json::object limits;
  if (arguments.memory_mb > 0) {
    limits["memory_mb"] = arguments.memory_mb;
  }
  if (arguments.fleet.launch_limits.descriptors > 0) {
    limits["descriptors"] = arguments.fleet.launch_limits.descriptors;
  }
  return boost::json::serialize(limits);
}

SoakFleetOptions fleetOptions(const SoakArguments& arguments, std::uint64_t seed) {
  SoakFleetOptions options = arguments.fleet;
  options.directory = files::absolute(options.directory + "/seed-" + std::to_string(seed)).string();
  options.program = switchsaddleProgram(options.program);
  if (options.network.empty()) {
    options.network = "127." + std::to_string(FirstNetwork + seed % Networks);
  }
  options.faulty_workers = !arguments.sound_workers;
  options.launch_limits.hangups_wait = !arguments.plain_launches;
  options.launch_limits.address_space_bytes = arguments.address_space_mb << MegabyteBits;
  options.limits_json = limitsOf(arguments);
  options.seed = seed * 1'000;
  return options;
}

/** Reads the configuration several times, after everything has recovered. */
void readAtTheEnd(SoakFleet& fleet, testbed::RunLedger& ledger, testbed::ControlHistory& history,
                  std::uint64_t seed) {
  base::RandomSource random(seed);
  const OperatorPtr reader =
      fleet.dialect().createOperator({.nodes = [&fleet] { return fleet.controlAddresses(); },
                                      .key = SoakOperatorKey,
                                      .number = 0,
                                      .ledger = ledger,
                                      .history = history,
                                      .on_acknowledged = {}});
  for (int count = 0; count < LastReads; ++count) {
    reader->read(random);
  }
}

/** What was seen of the memory of the daemons. */
struct MemoryFindings {
  std::vector<std::string> violations;
  std::string summary;
};

/** @return what a daemon may hold, in bytes; 0 if that is not checked. */
std::size_t memoryLimit(const SoakArguments& arguments) {
  return arguments.unchecked_memory ? 0 : arguments.memory_mb << MegabyteBits;
}

/** Sends work from all clients while the fleet is disturbed, and for a calm time after that. */
MemoryFindings sendAndDisturb(const SoakArguments& arguments, SoakFleet& fleet,
                              testbed::RunLedger& ledger, testbed::ControlHistory& history,
                              std::uint64_t seed, const std::string& directory) {
  testbed::Interruption clients_end;
  std::vector<std::thread> clients;
  for (int number = 1; number <= arguments.clients; ++number) {
    testbed::WireClientOptions options;
    options.fronts = fleet.fronts();
    options.host = SoakHost;
    options.seed = seed * 1'000 + static_cast<std::uint64_t>(number);
    options.mean_pause = std::chrono::milliseconds(arguments.client_pause_ms);
    fleet.dialect().prepareClient(options);
    clients.emplace_back([options, &ledger, &clients_end] {
      testbed::WireClient(options, ledger).run(clients_end);
    });
  }
  MemoryWatch memory(fleet, memoryLimit(arguments));
  SoakDisturbances disturbances(fleet, ledger, history, arguments.kinds, arguments.disturbers, seed,
                                directory + "/disturbances.log");
  testbed::Interruption pause;
  pause.wait(std::chrono::seconds(arguments.seconds));
  disturbances.stop();
  pause.wait(CalmTime);
  clients_end.raise();
  for (std::thread& client : clients) {
    client.join();
  }
  readAtTheEnd(fleet, ledger, history, seed);
  memory.stop();
  return {memory.violations(), memory.summary()};
}

/** Ends processes in a way that the checker of their ends is not told of. */
void endWithoutTelling(SoakFleet& fleet, int count) {
  const std::vector<std::string> names = fleet.namesOf(testbed::ProcessRole::Front);
  for (int index = 0; index < count; ++index) {
    const testbed::ProcessIdentity process =
        fleet.identityOf(names.at(static_cast<std::size_t>(index) % names.size()));
    ::kill(static_cast<pid_t>(process.pid), SIGSEGV);
    testbed::waitForCondition(process, testbed::ProcessCondition::Exited, UntoldEndLimit);
  }
}

/**
 * Changes that an earlier run of the seed left on the disks would count as repeats of this one's.
 * @throws base::Error if the folder holds an earlier run.
 */
void requireNewFolder(const std::string& folder) {
  if (files::exists(folder)) {
    throw base::Error(base::ResultCode::StorageFailed,
                      "the folder holds an earlier run, name another or remove it: " + folder);
  }
}

/** @return the number of violations. */
std::size_t runSeed(const SoakArguments& arguments, std::uint64_t seed) {
  testbed::RunLedger ledger(arguments.sound_workers && answersAreOwed(arguments.kinds));
  const SoakFleetOptions options = fleetOptions(arguments, seed);
  requireNewFolder(options.directory);
  SoakFleet fleet(options, ledger);
  testbed::ControlHistory history;
  const MemoryFindings memory =
      sendAndDisturb(arguments, fleet, ledger, history, seed, options.directory);
  endWithoutTelling(fleet, arguments.untold_ends);
  const std::vector<std::string> ends = testbed::processEnds().takeUnexpected();
  const std::vector<testbed::SoakViolation> violations = ledger.violations();
  const std::vector<std::string> control_violations = history.violations();
  for (const testbed::SoakViolation& violation : violations) {
    std::cout << testbed::violationName(violation.kind) << ": " << violation.text << "\n";
  }
  for (const std::string& text : control_violations) {
    std::cout << "control-plane: " << text << "\n";
  }
  for (const std::string& text : memory.violations) {
    std::cout << "memory: " << text << "\n";
  }
  for (const std::string& text : ends) {
    std::cout << "process: " << text << "\n";
  }
  const std::size_t count =
      violations.size() + control_violations.size() + memory.violations.size() + ends.size();
  std::cout << "seed " << seed << ": " << count << " violations; " << ledger.summary()
            << "; operators: done=" << history.count(testbed::ControlOutcome::Done)
            << " refused=" << history.count(testbed::ControlOutcome::Refused)
            << " unknown=" << history.count(testbed::ControlOutcome::Unknown) << "; "
            << testbed::processEnds().summary() << "; " << memory.summary << std::endl;
  return count;
}

void runSoak(const SoakArguments& arguments) {
  testbed::processEnds().watch();
  std::size_t violations = 0;
  for (int index = 0; index < arguments.seeds; ++index) {
    violations += runSeed(arguments, arguments.first_seed + static_cast<std::uint64_t>(index));
  }
  std::cout << "seeds: " << arguments.seeds << ", violations: " << violations << std::endl;
  if (violations > 0) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

void addFleetOptions(CLI::App& command, SoakArguments& arguments) {
  command
      .add_option("--directory", arguments.fleet.directory,
                  "Folder for the fleets; each seed gets a subfolder")
      ->required();
  command.add_option("--switchsaddle", arguments.fleet.program,
                     "Path of the switchsaddle program (default: in the folder of this program)");
  command.add_option("--network", arguments.fleet.network,
                     "First two octets of every address (default: 127.100 to 127.199, by seed)");
  command.add_option("--cores", arguments.fleet.cores, "Number of cores (default 5)")
      ->check(CLI::Range(3, 9));
  command.add_option("--fronts", arguments.fleet.fronts, "Number of fronts (default 4)")
      ->check(CLI::Range(2, 200));
  command.add_option("--workers", arguments.fleet.workers, "Number of workers (default 9)")
      ->check(CLI::Range(2, 200));
  command
      .add_option("--first-start-kills", arguments.fleet.first_start_kills,
                  "Kills of all cores before the first configuration (default 0)")
      ->check(CLI::Range(0, 100));
  command
      .add_option("--untold-ends", arguments.untold_ends,
                  "Fronts ended behind the checker's back, which must fail the run (default 0)")
      ->check(CLI::Range(0, 100));
  command.add_flag("--platform", arguments.fleet.platform_dialect,
                   "Speak the interfaces of the users' platform, settings from its templates");
  command.add_option("--templates", arguments.fleet.templates,
                     "Folder of the platform's settings templates (default deploy)");
  command.add_flag("--faulty-disks", arguments.fleet.faulty_disks,
                   "Cores run on disks that can be slow, stall and fill up");
  command
      .add_option("--sync-ms", arguments.fleet.sync_ms,
                  "Time of a sync on such a disk, in milliseconds (default 5)")
      ->check(CLI::Range(0, 1'000));
  command
      .add_option("--address-space-mb", arguments.address_space_mb,
                  "Limit of each daemon's address space (default: none)")
      ->check(CLI::Range(1, 1'000'000));
  command
      .add_option("--descriptors", arguments.fleet.launch_limits.descriptors,
                  "Limit of each daemon's descriptors (default: none)")
      ->check(CLI::Range(64, 1'000'000));
  command
      .add_option(
          "--memory-mb", arguments.memory_mb,
          "Memory that each daemon's settings give it, and that it may hold (default: none)")
      ->check(CLI::Range(32, 1'000'000));
  command.add_flag("--unchecked-memory", arguments.unchecked_memory,
                   "Do not check what daemons hold, as with sanitizers, which hold more");
  command.add_flag("--plain-launches", arguments.plain_launches,
                   "Launch daemons without holding SIGHUP back until they have started");
  command.add_flag("--sound-workers", arguments.sound_workers,
                   "Workers misuse no connection (default: they do)");
}

}  // namespace

void addSoakCommand(CLI::App& app) {
  auto arguments = std::make_shared<SoakArguments>();
  CLI::App* command = app.add_subcommand(
      "soak", "Disturb real daemons between stand-ins on raw sockets and check what runs twice");
  addFleetOptions(*command, *arguments);
  command->add_option("--seed", arguments->first_seed, "First seed (default 1)");
  command->add_option("--seeds", arguments->seeds, "Number of seeds (default 1)")
      ->check(CLI::PositiveNumber);
  command->add_option("--seconds", arguments->seconds, "Disturbed time of each seed (default 30)")
      ->check(CLI::PositiveNumber);
  command->add_option("--clients", arguments->clients, "Number of clients (default 40)")
      ->check(CLI::Range(1, 1'000));
  command
      ->add_option("--client-pause-ms", arguments->client_pause_ms,
                   "Mean pause of a client between two works, in milliseconds (default 100)")
      ->check(CLI::Range(1, 100'000));
  command
      ->add_option("--disturbers", arguments->disturbers, "Disturbances that overlap (default 4)")
      ->check(CLI::Range(1, 100));
  command->add_option("--kinds", arguments->kinds, "Kinds to draw from (default: all)")
      ->check(CLI::IsMember(soakDisturbanceKinds()));
  command->callback([arguments] { runSoak(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
