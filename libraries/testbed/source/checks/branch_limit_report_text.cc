#include <sstream>

#include "switchsaddle/testbed/checks/branch_limit_checker.h"

namespace switchsaddle::testbed {

std::string formatBranchLimitReport(const BranchLimitReport& report) {
  std::ostringstream text;
  for (const auto& [branch, findings] : report.branches) {
    text << "branch " << branch << ": peak " << findings.peak << " of " << findings.slots
         << ", exceeded " << findings.excesses << " times, longest " << findings.longest_excess_ms
         << " ms; refused " << findings.refused << ", with a free slot "
         << findings.refused_within_limit << "\n";
  }
  for (const auto& [kind, findings] : report.retries) {
    text << "retries " << kind << ": " << findings.retries << " of " << findings.first_attempts
         << " first attempts; worst window " << findings.worst_retries << " of "
         << findings.worst_first_attempts << "\n";
  }
  for (const auto& [code, times] : report.refusals) {
    text << "refused " << code << ": " << times.samples << ", p50 " << times.p50_ms << " ms, p95 "
         << times.p95_ms << " ms, longest " << times.longest_ms << " ms\n";
  }
  for (const auto& [period, by_name] : report.service) {
    for (const auto& [name, service] : by_name) {
      text << period << ": " << name << ": served " << service.served << " of " << service.calls
           << ", first token p50 " << service.first_token.p50_ms << " ms, p95 "
           << service.first_token.p95_ms << " ms\n";
    }
  }
  for (const Violation& violation : report.violations) {
    text << "VIOLATION " << ruleName(violation.rule) << ": " << violation.subject << ": "
         << violation.detail << "\n";
  }
  text << "violations of limits: " << report.violations.size() << "\n";
  return text.str();
}

}  // namespace switchsaddle::testbed
