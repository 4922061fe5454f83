#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/laboratory/call_event.h"
#include "switchsaddle/laboratory/judge.h"

namespace switchsaddle::lab {
namespace {

constexpr int ViolationsFound = 1;

/** The command line of `lab judge`. */
struct JudgeArguments {
  std::vector<std::string> records;
  std::string journals;
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
  if (!judgement.violations.empty()) {
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
  command->callback([arguments] { runJudge(*arguments); });
}

}  // namespace switchsaddle::lab
