#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>

#include "commands.h"
#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::testbed_commands {

namespace {

struct FuzzOptions {
  std::string corpus = "libraries/fuzz/corpus";
  std::string target;
  std::string faults = ".";
  double seconds = 60;
  std::uint64_t seed = 1;
};

/** Writes each input that revealed a fault to a file, which can be added to the corpus. */
void writeFaults(const FuzzOptions& options, const fuzz::Target& target,
                 const fuzz::FuzzReport& report) {
  for (std::size_t number = 0; number < report.faults.size(); ++number) {
    const std::string path = options.faults + "/fuzz-" + target.name + "-" + std::to_string(number);
    std::ofstream(path, std::ios::binary) << report.faults[number].first;
    std::cout << "  " << path << ": " << report.faults[number].second << "\n";
  }
}

std::size_t runAll(const FuzzOptions& options) {
  std::vector<fuzz::Target> targets = fuzz::allTargets(options.corpus);
  if (!options.target.empty()) {
    std::erase_if(targets, [&](const auto& target) { return target.name != options.target; });
  }
  if (targets.empty()) {
    throw CLI::ValidationError("--target", "expected the name of a fuzz target");
  }
  std::size_t faults = 0;
  const std::chrono::duration<double> share(options.seconds / static_cast<double>(targets.size()));
  for (const fuzz::Target& target : targets) {
    const auto end = std::chrono::steady_clock::now() + share;
    const fuzz::FuzzReport report = fuzz::runTarget(target, options.seed, [end](std::size_t) {
      return std::chrono::steady_clock::now() < end;
    });
    std::cout << target.name << ": " << report.executions << " inputs, " << report.faults.size()
              << " faults, slowest " << report.slowest_ms << " ms (" << report.slowest_input.size()
              << " bytes)\n";
    writeFaults(options, target, report);
    faults += report.faults.size();
  }
  return faults;
}

}  // namespace

void addFuzzCommand(CLI::App& app) {
  auto options = std::make_shared<FuzzOptions>();
  CLI::App* command =
      app.add_subcommand("fuzz", "Run every fuzz target on mutated inputs and report faults");
  command
      ->add_option("--corpus", options->corpus,
                   "Folder of valid inputs to mutate (default libraries/fuzz/corpus)")
      ->check(CLI::ExistingDirectory);
  command->add_option("--target", options->target,
                      "Name of a single fuzz target to run (default: all)");
  command
      ->add_option("--faults", options->faults,
                   "Folder to write inputs to that revealed a fault (default .)")
      ->check(CLI::ExistingDirectory);
  command->add_option("--seconds", options->seconds,
                      "Total time for all fuzz targets in seconds (default 60)");
  command->add_option("--seed", options->seed,
                      "Seed of the mutations; equal seeds give equal inputs (default 1)");
  command->callback([options] {
    if (runAll(*options) > 0) {
      throw CLI::RuntimeError(1);
    }
  });
}

}  // namespace switchsaddle::testbed_commands
