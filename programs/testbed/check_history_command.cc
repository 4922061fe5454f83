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

/** The command line of `switchsaddle-testbed judge`. */
struct CheckHistoryArguments {
  EvidenceFiles files;
  std::vector<std::string> limits;
  std::string configuration;
  std::string burst;
  testbed::BranchTolerances tolerances;
};

/** Reads "tenant=N". */
void addLimit(const std::string& text, testbed::Evidence& evidence) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw base::Error(base::ResultCode::InvalidValue, "not TENANT=N: " + text);
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

/** Prints the judgement on the branches and returns whether they were kept. */
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
  command->add_option("--record", arguments->files.records, "Record of a load; may be repeated")
      ->required();
  command->add_option("--journals", arguments->files.journals, "Folder of the workers' journals")
      ->required();
  command->add_option("--orders", arguments->files.orders,
                      "Record of orders, as `failures` writes it");
  command->add_option("--fleet", arguments->files.fleet,
                      "fleet.json, for the zones of the workers");
  command->add_option("--limit", arguments->limits, "TENANT=N: most runs at once");
  command->add_option("--configuration", arguments->configuration,
                      "Configuration file: check branches, refusals inside them, and retries");
  command->add_option("--crowd", arguments->burst,
                      "TENANT:FACTOR:FROM:TO of the load, to tell before, during and after");
  command->add_option("--excess-ms", arguments->tolerances.excess_ms,
                      "Longest time for which more runs than slots may be seen");
  command->add_option("--occupancy-ms", arguments->tolerances.occupancy_ms,
                      "A run takes its slot this much earlier and later than its worker noted");
  command->callback([arguments] { runCheckHistory(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
