#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "evidence_files.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/checks/branch_limit_checker.h"
#include "switchsaddle/testbed/checks/history_checker.h"
#include "switchsaddle/testbed/load/load_plan.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr int ViolationsFound = 1;

/** The command line of `switchsaddle-testbed check-history`. */
struct CheckHistoryArguments {
  EvidenceFiles files;
  std::vector<std::string> limits;
  std::string configuration;
  std::string burst;
  testbed::BranchTolerances tolerances;
};

/** Parses "TENANT=N" and adds the limit. Throws base::Error. */
void addLimit(const std::string& text, testbed::Evidence& evidence) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw base::Error(base::ResultCode::InvalidValue, "expected TENANT=N, got " + text);
  }
  evidence.limits[text.substr(0, equals)] =
      static_cast<std::uint32_t>(std::stoul(text.substr(equals + 1)));
}

testbed::BranchLimits readBranchLimits(const std::string& path) {
  std::vector<configuration::Fault> faults;
  const configuration::Document document =
      configuration::parseConfigurationFile(testbed::readTextFile(path), faults);
  if (!faults.empty()) {
    throw base::Error(faults.front().code, faults.front().message, faults.front().path);
  }
  return testbed::BranchLimits::fromView(configuration::buildView(document));
}

/** Prints the report on branch limits; returns whether there are no violations. */
bool checkLimits(const CheckHistoryArguments& arguments, const testbed::Evidence& evidence) {
  testbed::BurstPeriod burst;
  if (!arguments.burst.empty()) {
    const testbed::LoadBurst parsed = testbed::parseLoadBurst(arguments.burst);
    burst.from_s = static_cast<std::int64_t>(parsed.from_s);
    burst.to_s = static_cast<std::int64_t>(parsed.to_s);
  }
  const testbed::BranchLimitReport report = testbed::checkBranchLimits(
      evidence, readBranchLimits(arguments.configuration), arguments.tolerances, burst);
  std::cout << testbed::formatBranchLimitReport(report);
  return report.violations.empty();
}

void runCheckHistory(const CheckHistoryArguments& arguments) {
  testbed::Evidence evidence = readEvidence(arguments.files);
  for (const std::string& limit : arguments.limits) {
    addLimit(limit, evidence);
  }
  const testbed::HistoryReport report = testbed::checkHistory(evidence);
  std::cout << testbed::formatHistoryReport(report);
  const bool limits_kept = arguments.configuration.empty() || checkLimits(arguments, evidence);
  if (!report.violations.empty() || !limits_kept) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addCheckHistoryCommand(CLI::App& app) {
  auto arguments = std::make_shared<CheckHistoryArguments>();
  CLI::App* command =
      app.add_subcommand("check-history", "Check load records against the workers' journals");
  command->add_option("--record", arguments->files.records, "Record written by load (repeatable)")
      ->required();
  command->add_option("--journals", arguments->files.journals, "Folder of the workers' journals")
      ->required();
  command->add_option("--orders", arguments->files.orders,
                      "Order record written by failures (default: no orders)");
  command->add_option("--fleet", arguments->files.fleet,
                      "Path of fleet.json, for the zones of the workers (default: zones unknown)");
  command->add_option(
      "--limit", arguments->limits,
      "TENANT=N: maximum number of concurrent runs of a tenant (repeatable, default no limit)");
  command->add_option(
      "--configuration", arguments->configuration,
      "Configuration file: also check the branch limits, refusals for them, and retries "
      "(default: not checked)");
  command->add_option(
      "--crowd", arguments->burst,
      "Load burst as given to load, TENANT:FACTOR:FROM:TO with times in seconds; splits "
      "the report into before, during and after (default: no burst)");
  command->add_option(
      "--excess-ms", arguments->tolerances.excess_ms,
      "Longest allowed time with more runs than slots in milliseconds (default 100)");
  command->add_option(
      "--occupancy-ms", arguments->tolerances.occupancy_ms,
      "A run occupies its slot this many milliseconds before and after the times in the "
      "journal (default 50)");
  command->callback([arguments] { runCheckHistory(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
