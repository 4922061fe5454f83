#include "switchsaddle/routing/placement_cost.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

TEST(PlacementCostTest, LatenessRisesFromHalfOfTheTarget) {
  EXPECT_DOUBLE_EQ(lateness(0.5, 1), 0);
  EXPECT_GT(lateness(0.8, 1), 0);
  EXPECT_LT(lateness(0.8, 1), lateness(1.0, 1));
  EXPECT_DOUBLE_EQ(lateness(1.1, 1), 1);
  EXPECT_DOUBLE_EQ(lateness(9, 1), 1);
  EXPECT_DOUBLE_EQ(lateness(0.1, 0), 0) << "without a target nothing is late";
}

TEST(PlacementCostTest, APromptStaysWithItsCachedPrefixUntilItWouldBeLate) {
  ExpectedPlacement home;
  ExpectedPlacement other;
  other.cache_miss_tokens = 5'000;
  other.first_token_s = 0.2;
  home.first_token_s = 0.6;
  EXPECT_LT(placementCost(home), placementCost(other));
  home.first_token_s = 1.5;
  home.relative_size = 2;
  EXPECT_GT(placementCost(home), placementCost(other));
}

TEST(PlacementCostTest, AShortCachedPrefixDoesNotOutweighANewConnection) {
  ExpectedPlacement home;
  home.opens_connection = true;
  ExpectedPlacement connected;
  connected.cache_miss_tokens = 80;
  EXPECT_LT(placementCost(connected), placementCost(home));
}

TEST(PlacementCostTest, LatenessCostsMoreForLargePromptsUpToABound) {
  ExpectedPlacement late;
  late.first_token_s = 2;
  const double mean = placementCost(late);
  late.relative_size = 4;
  const double large = placementCost(late);
  EXPECT_GT(large, mean);
  late.relative_size = 40;
  EXPECT_DOUBLE_EQ(placementCost(late), large);
}

TEST(PlacementCostTest, ALongBacklogCostsMoreThanAnIdleWorker) {
  ExpectedPlacement idle;
  idle.first_token_s = 1.2;
  idle.backlog_s = 1.2;
  ExpectedPlacement busy = idle;
  busy.first_token_s = 2.5;
  busy.backlog_s = 2.5;
  idle.cache_miss_tokens = 5'000;
  EXPECT_LT(placementCost(idle), placementCost(busy))
      << "late in both cases, but without delaying later prompts";
}

TEST(PlacementCostTest, StreamsThatThePromptWouldStallAddToTheCost) {
  ExpectedPlacement busy;
  busy.backlog_s = 0.9;
  busy.gap_goal_s = 0.6;
  busy.streams = 4;
  ExpectedPlacement idle = busy;
  idle.streams = 0;
  idle.cache_miss_tokens = 5'000;
  EXPECT_LT(placementCost(idle), placementCost(busy));
  busy.queue_s = 0.9;
  busy.backlog_s = 1.0;
  idle.backlog_s = 1.0;
  EXPECT_GT(placementCost(idle), placementCost(busy)) << "those streams stall in any case";
  busy.gap_goal_s = 0;
  busy.queue_s = 0;
  EXPECT_GT(placementCost(idle), placementCost(busy)) << "without a gap target no stream stalls";
}

}  // namespace
}  // namespace switchsaddle::routing
