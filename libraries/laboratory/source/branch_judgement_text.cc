#include <sstream>

#include "switchsaddle/laboratory/branch_judge.h"

namespace switchsaddle::laboratory {

std::string formatBranchJudgement(const BranchJudgement& judgement) {
  std::ostringstream text;
  for (const auto& [branch, findings] : judgement.branches) {
    text << "branch " << branch << ": peak " << findings.peak << " of " << findings.slots
         << ", over it " << findings.excesses << " times, longest " << findings.longest_excess_ms
         << " ms; refused " << findings.refused << ", inside " << findings.refused_inside << "\n";
  }
  for (const auto& [kind, findings] : judgement.retries) {
    text << "retries " << kind << ": " << findings.retries << " of " << findings.first_tries
         << " first tries; worst window " << findings.worst_retries << " of "
         << findings.worst_first_tries << "\n";
  }
  for (const auto& [code, times] : judgement.refusals) {
    text << "refused " << code << ": " << times.samples << ", p50 " << times.p50_ms << " ms, p95 "
         << times.p95_ms << " ms, longest " << times.longest_ms << " ms\n";
  }
  for (const auto& [part, by_name] : judgement.service) {
    for (const auto& [name, service] : by_name) {
      text << part << ": " << name << ": served " << service.served << " of " << service.calls
           << ", first token p50 " << service.first_token.p50_ms << " ms, p95 "
           << service.first_token.p95_ms << " ms\n";
    }
  }
  for (const Violation& violation : judgement.violations) {
    text << "VIOLATION " << ruleName(violation.rule) << ": " << violation.subject << ": "
         << violation.detail << "\n";
  }
  text << "violations of limits: " << judgement.violations.size() << "\n";
  return text.str();
}

}  // namespace switchsaddle::laboratory
