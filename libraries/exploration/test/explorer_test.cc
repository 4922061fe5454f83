#include "switchsaddle/exploration/explorer.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"

namespace switchsaddle::exploration {
namespace {

/** Three messages; losing messages 0 and 2 violates the invariant, duplicates have no effect. */
class ThreeMessages : public Scenario {
 public:
  std::string name() const override { return "three-messages"; }
  RunReport run(const Schedule& schedule, bool /*keep_trace*/) const override {
    const auto loses = [&schedule](std::uint64_t message) {
      return std::ranges::count(schedule, Deviation{message, DeviationKind::LoseMessage}) > 0;
    };
    RunReport report;
    report.messages = 3;
    for (std::uint64_t message = 0; message < report.messages; ++message) {
      const std::string step = std::to_string(message) + (loses(message) ? "lost" : "");
      report.fingerprint = base::hashBytes(std::to_string(report.fingerprint) + step);
      report.states.push_back(report.fingerprint);
    }
    report.violation = loses(0) && loses(2) ? "both lost" : "";
    return report;
  }
};

ExplorationOptions optionsOf(std::size_t deviations) {
  ExplorationOptions options;
  options.deviations = deviations;
  options.kinds = {DeviationKind::LoseMessage, DeviationKind::DuplicateMessage};
  options.maximum_violations = 100;
  return options;
}

TEST(ExplorerTest, RunsEachKindAtEachMessageAndContinuesNoEqualRuns) {
  const ExplorationReport report = explore(ThreeMessages(), optionsOf(1));
  EXPECT_EQ(report.runs, 1U + 3U * 2U);
  EXPECT_EQ(report.equal_runs, 3U);
  EXPECT_EQ(report.depth, 3U);
  EXPECT_EQ(report.states, 3U + 3U + 2U + 1U);
  EXPECT_TRUE(report.violations.empty());
}

TEST(ExplorerTest, FindsTheViolationThatNeedsTwoDeviations) {
  const ExplorationReport report = explore(ThreeMessages(), optionsOf(2));
  ASSERT_EQ(report.violations.size(), 1U);
  EXPECT_EQ(scheduleText(report.violations[0].schedule), "0:lose-message,2:lose-message");
}

TEST(ExplorerTest, ShardsTogetherRunWhatOneExplorationRuns) {
  std::uint64_t first_deviations = 0;
  for (std::uint64_t shard = 0; shard < 4; ++shard) {
    ExplorationOptions options = optionsOf(1);
    options.shard = shard;
    options.shards = 4;
    first_deviations += explore(ThreeMessages(), options).runs - 1;
  }
  EXPECT_EQ(first_deviations, 6U);
  ExplorationOptions absent = optionsOf(1);
  absent.shard = 1;
  EXPECT_THROW(explore(ThreeMessages(), absent), base::Error);
}

TEST(ExplorerTest, LosesNoMoreDisksThanAllowed) {
  ExplorationOptions options = optionsOf(2);
  options.kinds = {DeviationKind::WipeSender, DeviationKind::WipeReceiver};
  options.lost_disks = 1;
  EXPECT_EQ(explore(ThreeMessages(), options).runs, 1U + 3U * 2U);
}

TEST(ExplorerTest, MinimizedScheduleHasOnlyTheDeviationsThatTheViolationNeeds) {
  const Schedule schedule = parseSchedule("0:lose-message,1:kill-sender,2:lose-message");
  EXPECT_EQ(scheduleText(minimized(ThreeMessages(), schedule)), "0:lose-message,2:lose-message");
}

}  // namespace
}  // namespace switchsaddle::exploration
