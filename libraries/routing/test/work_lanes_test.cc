#include "switchsaddle/routing/work_lanes.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Short = 10;
constexpr std::uint64_t Middle = 20;
constexpr std::uint64_t Long = 30;
constexpr std::uint64_t Unknown = 40;

TEST(WorkLanesTest, DividesKindsAtTheLargestRatioOfLengths) {
  WorkLanes lanes;
  base::TimePoint now{};
  EXPECT_FALSE(lanes.isDivided());
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(100);
    for (int prompt = 0; prompt < 3; ++prompt) {
      lanes.add(Short, 800, now);
      lanes.add(Middle, 2'000, now);
    }
    lanes.add(Long, step % 2 == 0 ? 1'000 : 25'000, now);
  }
  EXPECT_TRUE(lanes.isDivided());
  EXPECT_FALSE(lanes.isLong(Short));
  EXPECT_FALSE(lanes.isLong(Middle));
  EXPECT_TRUE(lanes.isLong(Long));
  EXPECT_FALSE(lanes.isLong(Unknown));
  // 13,000 of 21,400 tokens are of the long kind.
  EXPECT_EQ(lanes.shortWorkers(10), 4U);
  EXPECT_EQ(lanes.shortWorkers(3), 3U);
}

TEST(WorkLanesTest, KindsOfSimilarLengthShareTheirWorkers) {
  WorkLanes lanes;
  base::TimePoint now{};
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(100);
    lanes.add(Short, 1'000, now);
    lanes.add(Middle, 2'000, now);
  }
  EXPECT_FALSE(lanes.isDivided());
  EXPECT_EQ(lanes.shortWorkers(10), 10U);
}

TEST(WorkLanesTest, FollowsTheWorkOfAllFrontsWhileItIsReported) {
  WorkLanes lanes;
  base::TimePoint now = base::TimePoint{} + std::chrono::seconds(100);
  const std::vector<wire::WorkKindCounts> fleet = {{Short, 100, 100'000, 100'000},
                                                   {Long, 100, 900'000, 300'000}};
  lanes.setFleetCounts(fleet, now);
  lanes.add(Short, 50'000, now);
  EXPECT_FALSE(lanes.isLong(Short));
  EXPECT_TRUE(lanes.isLong(Long));
  EXPECT_DOUBLE_EQ(lanes.meanTokens(Long), 9'000);
  // The long lane's share follows prefilled tokens, not prompt tokens: 0.7 instead of 0.9.
  EXPECT_EQ(lanes.shortWorkers(20), 6U);
  now += WorkLanes::FleetLifetime;
  lanes.add(Short, 50'000, now);
  EXPECT_FALSE(lanes.isDivided()) << "this front's own work is of one kind";
}

}  // namespace
}  // namespace switchsaddle::routing
