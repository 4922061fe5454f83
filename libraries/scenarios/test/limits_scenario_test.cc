#include "switchsaddle/scenarios/limits_scenario.h"

#include <gtest/gtest.h>

namespace switchsaddle::scenarios {
namespace {

constexpr int Served = 0;
constexpr int OverBranchLimit = 3001;
constexpr std::uint64_t SeedsWithWideRetryBudget = 5;

void expectKept(const LimitsScenarioResult& result, std::uint64_t seed) {
  for (const testbed::Violation& violation : result.report.violations) {
    ADD_FAILURE() << "seed " << seed << ": " << testbed::ruleName(violation.rule) << " "
                  << violation.subject << ": " << violation.detail;
  }
}

class LimitsScenarioTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LimitsScenarioTest, BranchLimitsHoldAtTheWorkersUnderFaults) {
  LimitsScenarioOptions options;
  options.seed = GetParam();
  const LimitsScenarioResult result = LimitsScenario(options).run();
  expectKept(result, GetParam());
  EXPECT_GT(result.answers.at(Served), 100);
  EXPECT_GT(result.answers.at(OverBranchLimit), 20);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, LimitsScenarioTest, testing::Range<std::uint64_t>(1, 101));

class RetryStormTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RetryStormTest, RetriesStayWithinTheirShareWhileEveryWorkerFails) {
  LimitsScenarioOptions options;
  options.seed = GetParam();
  options.faults = false;
  options.worker_refusal = 1;
  const LimitsScenarioResult result = LimitsScenario(options).run();
  expectKept(result, GetParam());
  EXPECT_GT(result.report.retries.at("stream").first_attempts, 500U);
  EXPECT_GT(result.report.retries.at("stream").retries, 0U);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, RetryStormTest, testing::Range<std::uint64_t>(1, 21));

TEST(RetryStormRedTest, DetectsARetryShareOfOneHalf) {
  for (std::uint64_t seed = 1; seed <= SeedsWithWideRetryBudget; ++seed) {
    LimitsScenarioOptions options;
    options.seed = seed;
    options.faults = false;
    options.worker_refusal = 1;
    options.retry_share = 0.5;
    const LimitsScenarioResult result = LimitsScenario(options).run();
    ASSERT_FALSE(result.report.violations.empty()) << "seed " << seed;
    EXPECT_EQ(result.report.violations.front().rule, testbed::Rule::TooManyRetries);
  }
}

class ClosedWorkerTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ClosedWorkerTest, AWorkerThatRefusesConnectionsReceivesOnlyProbes) {
  LimitsScenarioOptions options;
  options.seed = GetParam();
  options.faults = false;
  options.closed_worker = true;
  const LimitsScenarioResult result = LimitsScenario(options).run();
  expectKept(result, GetParam());
  // Each of three fronts may probe after 0.5, 1, 2, 4 and then every 5 s: seven times in 20 s.
  constexpr int ProbesOfFront = 7;
  int closed = 0;
  int open = 0;
  for (const auto& [address, attempts] : result.attempts) {
    const bool is_closed = address.port == 7400;
    closed += is_closed ? attempts : 0;
    open += is_closed ? 0 : attempts;
  }
  EXPECT_GT(closed, 0);
  EXPECT_LE(closed, 3 * ProbesOfFront + 3);
  EXPECT_GT(open, 500);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, ClosedWorkerTest, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace switchsaddle::scenarios
