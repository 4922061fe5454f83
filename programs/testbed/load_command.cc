#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "commands.h"
#include "load_run.h"
#include "switchsaddle/testbed/fleet/fleet_layout.h"
#include "switchsaddle/testbed/fleet/process_control.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

/** Processor time that all running fronts have used so far. */
base::Duration frontCpuTime(const std::string& fleet_file) {
  base::Duration used = base::Duration::zero();
  for (const testbed::FleetProcess& process :
       testbed::parseFleetState(testbed::readTextFile(fleet_file)).processes) {
    if (process.role == testbed::ProcessRole::Front) {
      used += testbed::cpuTimeOf({process.pid, process.start_ticks});
    }
  }
  return used;
}

void runLoadCommand(const LoadOrder& order) {
  const base::Duration before = frontCpuTime(order.fleet);
  std::cout << "calls sent: " << runLoad(order) << "\n";
  const base::Duration used = frontCpuTime(order.fleet) - before;
  std::cout << "processor time of all fronts: " << base::toMilliseconds(used) << " ms\n";
}

}  // namespace

void addLoadCommand(CLI::App& app) {
  auto arguments = std::make_shared<LoadOrder>();
  CLI::App* command = app.add_subcommand("load", "Send a load and record what callers see");
  command->add_option("--fleet", arguments->fleet, "The fleet's fleet.json")->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--record", arguments->record, "File to record into; must not exist")
      ->required();
  command->add_option("--seconds", arguments->seconds, "How long requests arrive");
  command->add_option("--seed", arguments->seed, "Seed of the arrivals; keys hold it");
  command->add_flag("--direct", arguments->direct, "Straight to the workers, without the fronts");
  command->add_option("--crowd", arguments->bursts,
                      "TENANT:FACTOR:FROM:TO: a tenant, or all, many times as often for a time");
  command->callback([arguments] { runLoadCommand(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
