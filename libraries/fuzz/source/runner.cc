#include <chrono>

#include "switchsaddle/base/error.h"
#include "switchsaddle/fuzz/mutator.h"
#include "switchsaddle/fuzz/target.h"

namespace switchsaddle::fuzz {

namespace {

constexpr std::size_t MostFaults = 5;

void runOne(const Target& target, const std::string& input, FuzzReport& report) {
  const auto begun_at = std::chrono::steady_clock::now();
  try {
    target.run(input);
  } catch (const base::Error&) {
    // Refused in order.
  } catch (const std::exception& exception) {
    if (report.faults.size() < MostFaults) {
      report.faults.emplace_back(input, exception.what());
    }
  }
  const std::chrono::duration<double, std::milli> taken =
      std::chrono::steady_clock::now() - begun_at;
  if (taken.count() > report.slowest_ms) {
    report.slowest_ms = taken.count();
    report.slowest_input = input;
  }
  ++report.executions;
}

}  // namespace

FuzzReport runTarget(const Target& target, std::uint64_t seed,
                     const std::function<bool(std::size_t executions)>& goes_on) {
  FuzzReport report;
  for (const std::string& input : target.corpus) {
    runOne(target, input, report);
  }
  Mutator mutator(seed);
  while (goes_on(report.executions)) {
    runOne(target, mutator.next(target.corpus), report);
  }
  return report;
}

}  // namespace switchsaddle::fuzz
