#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "fleet.h"
#include "fleet_up.h"

namespace switchsaddle::testbed_commands {
namespace {

using testbed::FleetProcess;
using testbed::ProcessCondition;
using testbed::ProcessRole;

constexpr base::Duration KillLimit = std::chrono::seconds(10);
/** Longer than the limit after which the daemons end their open streams. */
constexpr base::Duration StopLimit = std::chrono::seconds(60);

/** The command lines of `switchsaddle-testbed fleet ...`. */
struct FleetArguments {
  std::string directory;
  std::string layout;
  std::string configuration;
  std::string switchsaddle;
  std::string network;
  int ready_seconds = 30;
  bool wait_ready = false;
  std::vector<std::string> names;

  base::Duration readyLimit() const { return std::chrono::seconds(ready_seconds); }
};

using Arguments = std::shared_ptr<FleetArguments>;

void startAll(Fleet& fleet, const std::vector<FleetProcess*>& processes) {
  for (FleetProcess* process : processes) {
    fleet.start(*process);
  }
}

void up(const FleetArguments& arguments) {
  FleetStartOptions options;
  options.directory = arguments.directory;
  options.layout = arguments.layout;
  options.configuration = arguments.configuration;
  options.switchsaddle = arguments.switchsaddle;
  options.network = arguments.network;
  options.ready_limit = arguments.readyLimit();
  std::cout << bringUp(options).status();
}

void start(const FleetArguments& arguments) {
  auto lock = std::make_unique<FleetLock>(arguments.directory);
  Fleet fleet = Fleet::load(arguments.directory);
  const auto processes = fleet.named(arguments.names);
  startAll(fleet, processes);
  lock.reset();
  if (arguments.wait_ready) {
    fleet.waitReady(processes, arguments.readyLimit());
  }
}

void signalNamed(const FleetArguments& arguments, int signal_number, ProcessCondition condition,
                 base::Duration limit) {
  Fleet fleet = Fleet::load(arguments.directory);
  fleet.signalAll(fleet.named(arguments.names), signal_number, condition, limit);
}

void wake(const FleetArguments& arguments) {
  Fleet fleet = Fleet::load(arguments.directory);
  fleet.signalAll(fleet.named(arguments.names), SIGCONT, ProcessCondition::Running, KillLimit);
}

void wipe(const FleetArguments& arguments) {
  Fleet fleet = Fleet::load(arguments.directory);
  for (const FleetProcess* process : fleet.named(arguments.names)) {
    fleet.wipe(*process);
  }
}

void replace(const FleetArguments& arguments) {
  const FleetLock lock(arguments.directory);
  Fleet fleet = Fleet::load(arguments.directory);
  fleet.signalAll(fleet.named(arguments.names), SIGKILL, ProcessCondition::Exited, KillLimit);
  for (const std::string& name : arguments.names) {
    FleetProcess& fresh = testbed::replaceCore(fleet.state(), name);
    fleet.writeSettings(fresh);
    fleet.start(fresh);
    std::cout << fresh.name << "\t" << fresh.peer_address.toString() << "\n";
  }
}

void down(const FleetArguments& arguments) {
  Fleet fleet = Fleet::load(arguments.directory);
  std::vector<FleetProcess*> all = fleet.named({"all"});
  fleet.signalAll(all, SIGKILL, ProcessCondition::Exited, KillLimit);
}

/** Adds `fleet NAME`, with the fleet's directory as an option. */
CLI::App* addAction(CLI::App& fleet, const Arguments& arguments, const std::string& name,
                    const std::string& help, std::function<void(const FleetArguments&)> action) {
  CLI::App* command = fleet.add_subcommand(name, help);
  command->add_option("--directory", arguments->directory, "Directory of the fleet")->required();
  command->callback([arguments, action = std::move(action)] { action(*arguments); });
  return command;
}

void addNamedAction(CLI::App& fleet, const Arguments& arguments, const std::string& name,
                    const std::string& help, std::function<void(const FleetArguments&)> action) {
  CLI::App* command = addAction(fleet, arguments, name, help, std::move(action));
  command
      ->add_option("names", arguments->names,
                   "Names of processes, or cores, fronts, workers or all")
      ->required();
}

void addUp(CLI::App& fleet, const Arguments& arguments) {
  CLI::App* command =
      addAction(fleet, arguments, "up", "Start a fleet and wait until it is ready", up);
  command->add_option("--layout", arguments->layout, "Layout file of the fleet")->required();
  command->add_option("--configuration", arguments->configuration,
                      "Configuration file applied when the cores are ready (default: none)");
  command->add_option("--switchsaddle", arguments->switchsaddle,
                      "Path of the switchsaddle program (default: in the folder of this program)");
  command->add_option("--network", arguments->network,
                      "First two octets of every address (default: from the layout)");
  command->add_option("--ready-seconds", arguments->ready_seconds,
                      "Time limit for each group of processes to be ready in seconds (default 30)");
}

void addStart(CLI::App& fleet, const Arguments& arguments) {
  CLI::App* command =
      addAction(fleet, arguments, "start", "Start processes that are not running", start);
  command
      ->add_option("names", arguments->names,
                   "Names of processes, or cores, fronts, workers or all")
      ->required();
  command->add_flag("--ready", arguments->wait_ready,
                    "Wait until the processes are ready (default: do not wait)");
  command->add_option("--ready-seconds", arguments->ready_seconds,
                      "Time limit for the wait in seconds (default 30)");
}

}  // namespace

void addFleetCommand(CLI::App& app) {
  auto arguments = std::make_shared<FleetArguments>();
  CLI::App* fleet =
      app.add_subcommand("fleet", "Start, signal and inspect a fleet of real processes");
  fleet->require_subcommand(1);
  addUp(*fleet, arguments);
  addStart(*fleet, arguments);
  addNamedAction(*fleet, arguments, "kill", "Send SIGKILL and wait until the processes have exited",
                 [](const FleetArguments& given) {
                   signalNamed(given, SIGKILL, ProcessCondition::Exited, KillLimit);
                 });
  addNamedAction(*fleet, arguments, "stop", "Send SIGTERM and wait until the processes have exited",
                 [](const FleetArguments& given) {
                   signalNamed(given, SIGTERM, ProcessCondition::Exited, StopLimit);
                 });
  addNamedAction(*fleet, arguments, "freeze",
                 "Send SIGSTOP and wait until the processes are stopped",
                 [](const FleetArguments& given) {
                   signalNamed(given, SIGSTOP, ProcessCondition::Stopped, KillLimit);
                 });
  addNamedAction(*fleet, arguments, "wake", "Send SIGCONT and wait until the processes run", wake);
  addNamedAction(*fleet, arguments, "wipe", "Delete the data of processes that are not running",
                 wipe);
  addNamedAction(*fleet, arguments, "replace",
                 "Kill cores and start a new core without data at a new address for each", replace);
  addAction(*fleet, arguments, "down", "Kill every process of the fleet", down);
  addAction(
      *fleet, arguments, "status", "Print one line for each process",
      [](const FleetArguments& given) { std::cout << Fleet::load(given.directory).status(); });
}

}  // namespace switchsaddle::testbed_commands
