#include "switchsaddle/routing/placement_cost.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

TEST(PlacementCostTest, LatenessRisesFromHalfOfTheGoal) {
  EXPECT_DOUBLE_EQ(lateness(0.5, 1), 0);
  EXPECT_GT(lateness(0.8, 1), 0);
  EXPECT_LT(lateness(0.8, 1), lateness(1.0, 1));
  EXPECT_DOUBLE_EQ(lateness(1.1, 1), 1);
  EXPECT_DOUBLE_EQ(lateness(9, 1), 1);
  EXPECT_DOUBLE_EQ(lateness(0.1, 0), 0) << "without a goal nothing is late";
}

TEST(PlacementCostTest, APromptStaysWithItsSharedPartUntilItWouldBeLate) {
  ExpectedPlacement home;
  ExpectedPlacement other;
  other.read_again = 5'000;
  other.first_token_s = 0.2;
  home.first_token_s = 0.6;
  EXPECT_LT(placementCost(home), placementCost(other));
  home.first_token_s = 1.5;
  home.size = 2;
  EXPECT_GT(placementCost(home), placementCost(other));
}

TEST(PlacementCostTest, ASmallSharedPartIsNotWorthAConnection) {
  ExpectedPlacement home;
  home.connects = true;
  ExpectedPlacement connected;
  connected.read_again = 80;
  EXPECT_LT(placementCost(connected), placementCost(home));
}

TEST(PlacementCostTest, ALateLargePromptWeighsMoreUpToABound) {
  ExpectedPlacement late;
  late.first_token_s = 2;
  const double mean = placementCost(late);
  late.size = 4;
  const double large = placementCost(late);
  EXPECT_GT(large, mean);
  late.size = 40;
  EXPECT_DOUBLE_EQ(placementCost(late), large);
}

TEST(PlacementCostTest, ALongBacklogCostsThoseWhoComeNext) {
  ExpectedPlacement alone;
  alone.first_token_s = 1.2;
  alone.backlog_s = 1.2;
  ExpectedPlacement behind = alone;
  behind.first_token_s = 2.5;
  behind.backlog_s = 2.5;
  alone.read_again = 5'000;
  EXPECT_LT(placementCost(alone), placementCost(behind))
      << "late either way, but here it makes no others late";
}

TEST(PlacementCostTest, StreamsThatWouldStallBesideThePromptCost) {
  ExpectedPlacement crowded;
  crowded.backlog_s = 0.9;
  crowded.gap_goal_s = 0.6;
  crowded.streams = 4;
  ExpectedPlacement idle = crowded;
  idle.streams = 0;
  idle.read_again = 5'000;
  EXPECT_LT(placementCost(idle), placementCost(crowded));
  crowded.queue_s = 0.9;
  crowded.backlog_s = 1.0;
  idle.backlog_s = 1.0;
  EXPECT_GT(placementCost(idle), placementCost(crowded)) << "those streams stall already";
  crowded.gap_goal_s = 0;
  crowded.queue_s = 0;
  EXPECT_GT(placementCost(idle), placementCost(crowded)) << "no pause is too long without a goal";
}

}  // namespace
}  // namespace switchsaddle::routing
