#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "evidence_files.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/laboratory/judge.h"

namespace switchsaddle::lab {
namespace {

constexpr int ViolationsFound = 1;

/** The command line of `lab judge`. */
struct JudgeArguments {
  EvidenceFiles files;
  std::vector<std::string> limits;
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

void runJudge(const JudgeArguments& arguments) {
  laboratory::Evidence evidence = readEvidence(arguments.files);
  for (const std::string& limit : arguments.limits) {
    addLimit(limit, evidence);
  }
  const laboratory::Judgement judgement = laboratory::judge(evidence);
  std::cout << laboratory::formatJudgement(judgement);
  if (!judgement.violations.empty()) {
    throw CLI::RuntimeError(ViolationsFound);
  }
}

}  // namespace

void addJudgeCommand(CLI::App& app) {
  auto arguments = std::make_shared<JudgeArguments>();
  CLI::App* command =
      app.add_subcommand("judge", "Check load records against the workers' journals");
  command->add_option("--record", arguments->files.records, "Record of a load; may be repeated")
      ->required();
  command->add_option("--journals", arguments->files.journals, "Folder of the workers' journals")
      ->required();
  command->add_option("--orders", arguments->files.orders,
                      "Record of orders, as `failures` writes it");
  command->add_option("--fleet", arguments->files.fleet,
                      "fleet.json, for the zones of the workers");
  command->add_option("--limit", arguments->limits, "TENANT=N: most runs at once");
  command->callback([arguments] { runJudge(*arguments); });
}

}  // namespace switchsaddle::lab
