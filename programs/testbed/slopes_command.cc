#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/load/plan_sizes.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::testbed_commands {
namespace {

using configuration::RegisterValue;

/** The command line of `switchsaddle-testbed slopes`. */
struct SlopesArguments {
  std::vector<std::size_t> tenants{1'000, 2'000, 4'000, 8'500};
  std::vector<std::size_t> workers{300, 1'000, 2'100};
  std::size_t recorded = configuration::MaximumRecordedChanges;
  std::string configuration_file;
  int repetitions = 5;
};

/** Mean time of one call in milliseconds. */
template <class Function>
double timeOf(int repetitions, Function function) {
  const auto start = std::chrono::steady_clock::now();
  for (int index = 0; index < repetitions; ++index) {
    function();
  }
  const std::chrono::duration<double, std::milli> whole = std::chrono::steady_clock::now() - start;
  return whole.count() / repetitions;
}

double loadAverage() {
  double load = 0;
  ::getloadavg(&load, 1);
  return load;
}

std::size_t encodedSize(wire::Message message) {
  return wire::encode({{"127.0.0.1", 7'100}, wire::EnvelopeKind::Request, 1, std::move(message)})
      .size();
}

RegisterValue valueOf(std::size_t tenants, std::size_t recorded) {
  RegisterValue value;
  value.document = testbed::planDocument(tenants);
  for (std::size_t index = 0; index < recorded; ++index) {
    value.recorded.push_back({"deploy-2026-" + std::to_string(index), index, {}, index});
  }
  for (std::size_t index = 0; index < configuration::MaximumHistoryEntries; ++index) {
    value.history.push_back({index, "deploy-2026-" + std::to_string(index), {"keys/tenant-1"}, {}});
  }
  return value;
}

configuration::Change changeOf(const configuration::Document& document) {
  configuration::Change change;
  change.change_id = "measured";
  change.base_version = document.version;
  change.set.push_back({"evacuations/measured", "{}"});
  return change;
}

void measureConfiguration(const SlopesArguments& arguments, std::size_t tenants) {
  const RegisterValue value = valueOf(tenants, arguments.recorded);
  const std::string bytes = configuration::encodeRegisterValue(value);
  const configuration::Document& document = value.document;
  const configuration::Change change = changeOf(document);
  const configuration::Document next = configuration::applyChange(document, change);
  const int repetitions = arguments.repetitions;
  std::cout << tenants << ',' << document.entries.size() << ',' << bytes.size() << ','
            << encodedSize(document.deltaSince(0)) << ','
            << encodedSize(next.deltaSince(document.version)) << ','
            << timeOf(repetitions, [&] { configuration::encodeRegisterValue(value); }) << ','
            << timeOf(repetitions, [&] { configuration::decodeRegisterValue(bytes); }) << ','
            << timeOf(repetitions, [&] { configuration::decideChange(value, change); }) << ','
            << timeOf(repetitions, [&] { configuration::buildView(document); }) << ','
            << timeOf(repetitions, [&] { document.digest(); }) << ','
            << timeOf(repetitions, [&] { next.deltaSince(document.version); }) << ','
            << loadAverage() << std::endl;
}

void measureWorkers(std::size_t count) {
  const wire::WorkerView view = testbed::planWorkers(count);
  wire::GossipDelta scores;
  for (const wire::WorkerEntry& worker : view.workers) {
    scores.scores.push_back({worker.models.front(), worker.id, 1, 60, 0.0001, 0.02, 5, 500});
  }
  std::cout << count << ',' << encodedSize(view) << ',' << encodedSize(scores) << std::endl;
}

void measure(const SlopesArguments& arguments) {
  if (!arguments.configuration_file.empty()) {
    std::ofstream(arguments.configuration_file)
        << testbed::planDocument(arguments.tenants.front()).toJson() << "\n";
    return;
  }
  std::cout << "tenants,entries,register_bytes,whole_delta_bytes,change_delta_bytes,encode_ms,"
               "decode_ms,decide_ms,view_ms,digest_ms,delta_ms,load_average\n";
  for (const std::size_t tenants : arguments.tenants) {
    measureConfiguration(arguments, tenants);
  }
  std::cout << "workers,view_bytes,all_scores_bytes\n";
  for (const std::size_t workers : arguments.workers) {
    measureWorkers(workers);
  }
}

}  // namespace

void addSlopesCommand(CLI::App& app) {
  auto arguments = std::make_shared<SlopesArguments>();
  CLI::App* command = app.add_subcommand(
      "slopes", "Measure encoded sizes and processing times for several fleet sizes; print CSV");
  command
      ->add_option("--tenants", arguments->tenants,
                   "Numbers of tenants (default 1000,2000,4000,8500)")
      ->delimiter(',');
  command->add_option("--workers", arguments->workers, "Numbers of workers (default 300,1000,2100)")
      ->delimiter(',');
  command->add_option("--recorded", arguments->recorded,
                      "Number of recorded changes in the register (default: the maximum)");
  command->add_option("--repetitions", arguments->repetitions,
                      "Number of repetitions of each measurement (default 5)");
  command->add_option(
      "--write-configuration", arguments->configuration_file,
      "File to write the configuration with the first number of tenants to, without "
      "measuring (default: none)");
  command->callback([arguments] { measure(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
