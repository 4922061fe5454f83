#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "crowd/crowd_run.h"
#include "switchsaddle/testbed/fleet/process_ends.h"

namespace switchsaddle::testbed_commands {

namespace {

constexpr int ViolationsFound = 1;
constexpr std::size_t BytesPerMebibyte = 1U << 20U;
constexpr std::size_t BytesPerKibibyte = 1U << 10U;

std::vector<std::string> kindNames() {
  std::vector<std::string> names;
  for (const testbed::CrowdKind& kind : testbed::crowdKinds({})) {
    names.push_back(kind.name);
  }
  return names;
}

/** The command line of `switchsaddle-testbed crowd`. */
struct CrowdArguments {
  CrowdRunOptions run;
  std::vector<std::string> kinds = kindNames();
  bool list = false;
  bool together = false;
};

testbed::CrowdKind findKind(const std::string& name, const testbed::CrowdRequests& requests) {
  const std::vector<testbed::CrowdKind> kinds = testbed::crowdKinds(requests);
  return *std::ranges::find(kinds, name, &testbed::CrowdKind::name);
}

void print(const std::string& name, const CrowdReport& report) {
  for (const std::string& violation : report.violations) {
    std::cout << name << ": " << violation << "\n";
  }
  std::cout << "crowd " << name << ": " << report.violations.size() << " violations; sent "
            << report.bytes_sent / BytesPerMebibyte << " MiB, closed " << report.closed_connections;
  for (const auto& [process, usage] : report.usage) {
    std::cout << "; " << process << " " << usage.peak_memory_bytes / BytesPerMebibyte
              << " MiB at most, " << usage.memory_bytes / BytesPerMebibyte << " at the end, "
              << usage.descriptors << " descriptors, " << usage.unread_bytes / BytesPerKibibyte
              << " KiB unread, " << usage.unsent_bytes / BytesPerKibibyte << " KiB unsent";
  }
  std::cout << std::endl;
}

/**
 * Runs crowds of these kinds at the same time on a fleet of their own.
 * @param label name of the run in its folder and in the output.
 * @return the number of violations.
 */
std::size_t runKinds(const CrowdArguments& arguments, const std::string& label,
                     const std::vector<std::string>& names) {
  CrowdRunOptions options = arguments.run;
  options.fleet.directory =
      std::filesystem::absolute(options.fleet.directory + "/" + label).string();
  options.fleet.program = switchsaddleProgram(options.fleet.program);
  CrowdRun run(options);
  std::vector<testbed::CrowdKind> kinds;
  for (const std::string& name : names) {
    kinds.push_back(findKind(name, run.requests()));
  }
  const CrowdReport report = run.run(kinds);
  print(label, report);
  return report.violations.size();
}

void listKinds() {
  for (const std::string& name : kindNames()) {
    std::cout << name << "\n";
  }
}

void runCrowds(const CrowdArguments& arguments) {
  testbed::processEnds().watch();
  std::size_t violations = 0;
  if (arguments.together) {
    violations += runKinds(arguments, "together", arguments.kinds);
  } else {
    for (const std::string& name : arguments.kinds) {
      violations += runKinds(arguments, name, {name});
    }
  }
  std::cout << "crowds: " << arguments.kinds.size() << ", violations: " << violations << std::endl;
  if (violations > 0) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addCrowdCommand(CLI::App& app) {
  auto arguments = std::make_shared<CrowdArguments>();
  CrowdRunOptions& run = arguments->run;
  run.fleet.cores = 3;
  run.fleet.fronts = 2;
  run.fleet.workers = 2;
  run.fleet.directory = ".";
  run.fleet.network = "127.98";
  CLI::App* command = app.add_subcommand(
      "crowd", "Send crowds of misbehaving clients to real daemons and check what these hold");
  command->add_option(
      "--directory", run.fleet.directory,
      "Folder for the fleets; each kind gets a subfolder (default: the current one)");
  command->add_flag("--list", arguments->list, "Print the names of the kinds and end");
  command->add_flag("--together", arguments->together,
                    "Send crowds of all kinds at the same time to one fleet");
  command->add_flag("--frozen", run.frozen,
                    "Stop the daemons while the crowds arrive, as if they got no processor time");
  command->add_option("--switchsaddle", run.fleet.program,
                      "Path of the switchsaddle program (default: in the folder of this program)");
  command->add_option("--network", run.fleet.network,
                      "First two octets of every address (default 127.98)");
  command->add_option("--memory-mb", run.memory_mb, "Memory of each machine, in MiB (default 64)");
  command->add_option("--descriptors", run.descriptors,
                      "Descriptors of each machine (default 400)");
  command->add_option("--clients", run.size.clients, "Number of clients (default 40)")
      ->check(CLI::Range(1, 1'000));
  command
      ->add_option("--reconnects", run.size.reconnects,
                   "Connections of a client in place of closed ones (default 3)")
      ->check(CLI::Range(0, 100));
  command->add_option("--kinds", arguments->kinds, "Kinds to send (default: all)")
      ->check(CLI::IsMember(kindNames()));
  command->callback([arguments] {
    if (arguments->list) {
      listKinds();
    } else {
      runCrowds(*arguments);
    }
  });
}

}  // namespace switchsaddle::testbed_commands
