#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/laboratory/branch_judge.h"
#include "switchsaddle/laboratory/call_event.h"
#include "switchsaddle/laboratory/json_fields.h"
#include "switchsaddle/laboratory/judge.h"
#include "switchsaddle/laboratory/load_plan.h"

namespace switchsaddle::lab {
namespace {

constexpr int ViolationsFound = 1;

/** The command line of `lab judge`. */
struct JudgeArguments {
  std::vector<std::string> records;
  std::string journals;
  std::vector<std::string> limits;
  std::string configuration;
  std::string crowd;
  laboratory::BranchTolerances tolerances;
};

/** Reads "tenant=N". */
void addLimit(const std::string& text, laboratory::Evidence& evidence) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw base::Error(base::ResultCode::InvalidValue, "not TENANT=N: " + text);
  }
  evidence.limits[text.substr(0, equals)] =
      static_cast<std::uint32_t>(std::stoul(text.substr(equals + 1)));
}

/** Numbers the calls of each further record after those of the ones before. */
void addRecord(const std::string& path, laboratory::Evidence& evidence) {
  std::uint64_t base_number = 0;
  for (const laboratory::CallEvent& event : evidence.calls) {
    base_number = std::max(base_number, event.call);
  }
  for (laboratory::CallEvent& event : laboratory::readCallEvents(path)) {
    event.call += base_number;
    evidence.calls.push_back(std::move(event));
  }
}

laboratory::BranchLimits readBranchLimits(const std::string& path) {
  std::vector<configuration::Fault> faults;
  const configuration::Document document =
      configuration::parseConfigurationFile(laboratory::readTextFile(path), faults);
  if (!faults.empty()) {
    throw base::Error(faults.front().code, faults.front().message, faults.front().path);
  }
  return laboratory::BranchLimits::fromView(configuration::buildView(document));
}

/** Prints the judgement on the branches and returns whether they were kept. */
bool judgeLimits(const JudgeArguments& arguments, const laboratory::Evidence& evidence) {
  laboratory::CrowdTime crowd;
  if (!arguments.crowd.empty()) {
    const laboratory::Crowd parsed = laboratory::parseCrowd(arguments.crowd);
    crowd.from_s = static_cast<std::int64_t>(parsed.from_s);
    crowd.to_s = static_cast<std::int64_t>(parsed.to_s);
  }
  const laboratory::BranchJudgement judgement = laboratory::judgeBranches(
      evidence, readBranchLimits(arguments.configuration), arguments.tolerances, crowd);
  std::cout << laboratory::formatBranchJudgement(judgement);
  return judgement.violations.empty();
}

void runJudge(const JudgeArguments& arguments) {
  laboratory::Evidence evidence;
  for (const std::string& path : arguments.records) {
    addRecord(path, evidence);
  }
  for (const auto& file : std::filesystem::directory_iterator(arguments.journals)) {
    if (file.path().extension() == ".jsonl") {
      evidence.journals.push_back(laboratory::readWorkerEvents(file.path().string()));
    }
  }
  for (const std::string& limit : arguments.limits) {
    addLimit(limit, evidence);
  }
  if (evidence.calls.empty() || evidence.journals.empty()) {
    throw base::Error(base::ResultCode::InvalidValue, "nothing to judge: no calls or no journals");
  }
  const laboratory::Judgement judgement = laboratory::judge(evidence);
  std::cout << laboratory::formatJudgement(judgement);
  const bool limits_kept = arguments.configuration.empty() || judgeLimits(arguments, evidence);
  if (!judgement.violations.empty() || !limits_kept) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addJudgeCommand(CLI::App& app) {
  auto arguments = std::make_shared<JudgeArguments>();
  CLI::App* command =
      app.add_subcommand("judge", "Check load records against the workers' journals");
  command->add_option("--record", arguments->records, "Record of a load; may be repeated")
      ->required();
  command->add_option("--journals", arguments->journals, "Folder of the workers' journals")
      ->required();
  command->add_option("--limit", arguments->limits, "TENANT=N: most runs at once");
  command->add_option("--configuration", arguments->configuration,
                      "Configuration file: judge branches, refusals inside them, and retries");
  command->add_option("--crowd", arguments->crowd,
                      "TENANT:FACTOR:FROM:TO of the load, to tell before, during and after");
  command->add_option("--excess-ms", arguments->tolerances.excess_ms,
                      "Longest time for which more runs than slots may be seen");
  command->add_option("--occupancy-ms", arguments->tolerances.occupancy_ms,
                      "A run takes its slot this much earlier and later than its worker noted");
  command->callback([arguments] { runJudge(*arguments); });
}

}  // namespace switchsaddle::lab
