#include <chrono>

#include "switchsaddle/base/error.h"
#include "switchsaddle/fuzz/mutator.h"
#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {

namespace {

constexpr std::size_t MaxReportedFaults = 5;

void runOne(const Target& target, const std::string& input, FuzzReport& report) {
  const auto started_at = std::chrono::steady_clock::now();
  try {
    target.run(input);
  } catch (const base::Error&) {
    // The input was rejected as intended.
  } catch (const std::exception& exception) {
    if (report.faults.size() < MaxReportedFaults) {
      report.faults.emplace_back(input, exception.what());
    }
  }
  const std::chrono::duration<double, std::milli> taken =
      std::chrono::steady_clock::now() - started_at;
  if (taken.count() > report.slowest_ms) {
    report.slowest_ms = taken.count();
    report.slowest_input = input;
  }
  ++report.executions;
}

}  // namespace

FuzzReport runTarget(const Target& target, std::uint64_t seed,
                     const std::function<bool(std::size_t executions)>& continues) {
  FuzzReport report;
  for (const std::string& input : target.corpus) {
    runOne(target, input, report);
  }
  Mutator mutator(seed);
  while (continues(report.executions)) {
    runOne(target, mutator.next(target.corpus), report);
  }
  return report;
}

}  // namespace switchsaddle::fuzz
