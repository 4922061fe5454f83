#include "switchsaddle/scenarios/core_exploration.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::scenarios {
namespace {

using exploration::DeviationKind;
using exploration::ExplorationOptions;
using exploration::ExplorationReport;

std::string firstViolation(const ExplorationReport& report) {
  return report.violations.empty()
             ? ""
             : scheduleText(report.violations[0].schedule) + ": " + report.violations[0].text;
}

constexpr std::uint64_t Shards = 4;

/** One deviation at each message. The disk of the core that commits the first set is not lost:
 * docs/design/registers.md, "The first set". */
class FirstSetExploration : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FirstSetExploration, FormsOneSetAfterAnyCrash) {
  ExplorationOptions options;
  options.kinds = {DeviationKind::KillSender, DeviationKind::KillReceiver};
  options.shard = GetParam();
  options.shards = Shards;
  EXPECT_EQ(firstViolation(explore(*firstSetScenario(), options)), "");
}

TEST(FirstSetExplorationTest, FindsASetThatNeverFormsIfTheInitialCoresAreWithheld) {
  core::CoreFaults faults;
  faults.withhold_initial_cores = true;
  const ExplorationReport report = explore(*firstSetScenario(faults), {});
  EXPECT_NE(firstViolation(report), "");
  EXPECT_LE(report.runs, 100U);
}

class ReplacementExploration : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ReplacementExploration, EndsAndKeepsAcknowledgedChangesAfterAnyDeviation) {
  ExplorationOptions options;
  options.shard = GetParam();
  options.shards = Shards;
  EXPECT_EQ(firstViolation(explore(*replacementScenario(), options)), "");
}

TEST(ReplacementExplorationTest, FindsAChangeThatNeverEndsIfOnlyTheLeaseHolderEndsIt) {
  core::CoreFaults faults;
  faults.ignore_stalled_set_changes = true;
  ExplorationOptions options;
  options.kinds = {DeviationKind::WipeSender, DeviationKind::WipeReceiver};
  const ExplorationReport report = explore(*replacementScenario(faults), options);
  EXPECT_NE(firstViolation(report), "");
  EXPECT_LE(report.runs, 300U);
}

/** Every kind but a delay: docs/design/acknowledgement-and-sessions.md, "Orders that are fenced by
 * time", says what is left open there. */
TEST(EvacuationExplorationTest, ZoneStaysEvacuatedAfterAnyCrashOrLoss) {
  ExplorationOptions options;
  std::erase(options.kinds, DeviationKind::DelayMessage);
  EXPECT_EQ(firstViolation(explore(*evacuationScenario(), options)), "");
}

TEST(EvacuationExplorationTest, FindsAnOldOrderThatIsCarriedOutIfOrdersDoNotExpire) {
  core::CoreFaults faults;
  faults.carry_out_expired_orders = true;
  const ExplorationReport report = explore(*evacuationScenario(faults), {});
  EXPECT_NE(firstViolation(report), "");
  EXPECT_LE(report.runs, 500U);
}

TEST(CoreExplorationTest, ScenariosAreFoundByName) {
  for (const std::string& name : coreScenarioNames()) {
    EXPECT_EQ(coreScenario(name)->name(), name);
  }
  EXPECT_THROW(coreScenario("absent"), base::Error);
}

INSTANTIATE_TEST_SUITE_P(Parts, FirstSetExploration, testing::Range<std::uint64_t>(0, Shards));
INSTANTIATE_TEST_SUITE_P(Parts, ReplacementExploration, testing::Range<std::uint64_t>(0, Shards));

}  // namespace
}  // namespace switchsaddle::scenarios
