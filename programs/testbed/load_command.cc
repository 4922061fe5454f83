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

/** Total processor time that the running fronts have used since their start. */
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

void runLoadCommand(const LoadOptions& options) {
  const base::Duration before = frontCpuTime(options.fleet);
  std::cout << "calls sent: " << runLoad(options) << "\n";
  const base::Duration used = frontCpuTime(options.fleet) - before;
  std::cout << "processor time of all fronts: " << base::toMilliseconds(used) << " ms\n";
}

}  // namespace

void addLoadCommand(CLI::App& app) {
  auto arguments = std::make_shared<LoadOptions>();
  CLI::App* command = app.add_subcommand("load", "Send load to a fleet and record each call");
  command->add_option("--fleet", arguments->fleet, "Path of the fleet's fleet.json")->required();
  command->add_option("--load", arguments->load, "Load file")->required();
  command->add_option("--record", arguments->record, "Record file to create; must not exist")
      ->required();
  command->add_option("--seconds", arguments->seconds,
                      "Time in seconds during which requests are sent (default 30)");
  command->add_option("--seed", arguments->seed,
                      "Seed of the arrivals, which is part of each idempotency key (default 1)");
  command->add_flag("--direct", arguments->direct,
                    "Send to the workers instead of the fronts (default: to the fronts)");
  command->add_option(
      "--crowd", arguments->bursts,
      "Load burst TENANT:FACTOR:FROM:TO: multiplies the rates of a tenant, or all, from FROM "
      "to TO in seconds (repeatable, default: none)");
  command->callback([arguments] { runLoadCommand(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
