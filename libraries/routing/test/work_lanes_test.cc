#include "switchsaddle/routing/work_lanes.h"

#include <gtest/gtest.h>

#include <memory>

#include "switchsaddle/routing/model_pool.h"
#include "switchsaddle/routing/prefix_chains.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Short = 10;
constexpr std::uint64_t Middle = 20;
constexpr std::uint64_t Long = 30;
constexpr std::uint64_t Unknown = 40;

TEST(WorkLanesTest, PartsKindsWhereTheirLengthsLieFurthestApart) {
  WorkLanes lanes;
  base::TimePoint now{};
  EXPECT_FALSE(lanes.divided());
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    for (int prompt = 0; prompt < 3; ++prompt) {
      lanes.add(Short, 800, now);
      lanes.add(Middle, 2'000, now);
    }
    lanes.add(Long, round % 2 == 0 ? 1'000 : 25'000, now);
  }
  EXPECT_TRUE(lanes.divided());
  EXPECT_FALSE(lanes.isLong(Short));
  EXPECT_FALSE(lanes.isLong(Middle));
  EXPECT_TRUE(lanes.isLong(Long));
  EXPECT_FALSE(lanes.isLong(Unknown));
  // 13,000 of 21,400 tokens are of the long kind.
  EXPECT_EQ(lanes.shortWorkers(10), 4U);
  EXPECT_EQ(lanes.shortWorkers(3), 3U);
}

TEST(WorkLanesTest, KindsOfLikeLengthShareTheirWorkers) {
  WorkLanes lanes;
  base::TimePoint now{};
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    lanes.add(Short, 1'000, now);
    lanes.add(Middle, 2'000, now);
  }
  EXPECT_FALSE(lanes.divided());
  EXPECT_EQ(lanes.shortWorkers(10), 10U);
}

TEST(WorkLanesTest, FollowsTheWorkOfAllFrontsWhileItIsTold) {
  WorkLanes lanes;
  base::TimePoint now = base::TimePoint{} + std::chrono::seconds(100);
  const std::vector<wire::WorkKindCounts> fleet = {{Short, 100, 100'000, 100'000},
                                                   {Long, 100, 900'000, 300'000}};
  lanes.setFleet(fleet, now);
  lanes.add(Short, 50'000, now);
  EXPECT_FALSE(lanes.isLong(Short));
  EXPECT_TRUE(lanes.isLong(Long));
  EXPECT_DOUBLE_EQ(lanes.meanTokens(Long), 9'000);
  // By what is read, not by the length of prompts: 0.7 in place of 0.9.
  EXPECT_EQ(lanes.shortWorkers(20), 6U);
  now += WorkLanes::FleetLifetime;
  lanes.add(Short, 50'000, now);
  EXPECT_FALSE(lanes.divided()) << "its own work is of one kind";
}

TEST(FirstTokenEstimateTest, ThePoolsRateGoesBeforeAnArmsOwnUnlessItIsSick) {
  Arm arm;
  arm.prefill = std::make_shared<WorkerRecord>();
  SpeedSample sample;
  sample.seconds_per_prefill_token = 0.000'01;
  arm.statistics.add(sample, {}, 600);
  const UnmeasuredPrior prior;
  const double quick = estimateFirstToken(arm, 1'000, 1, prior, {}, 0.000'02);
  EXPECT_NEAR(quick, prior.base_seconds + 0.02, 1e-6);
  EXPECT_NEAR(estimateFirstToken(arm, 1'000, 1, prior, {}), prior.base_seconds + 0.01, 1e-6);
  Arm sick;
  sick.prefill = arm.prefill;
  sample.seconds_per_prefill_token = 0.000'1;
  sick.statistics.add(sample, {}, 600);
  EXPECT_NEAR(estimateFirstToken(sick, 1'000, 1, prior, {}, 0.000'02), prior.base_seconds + 0.1,
              1e-6);
}

TEST(PrefixChainsTest, APromptsOwnPartMakesNoHome) {
  Prompt prompt{"m", {{"system", 100}, {"subject", 400}, {"own", 5'000}}, 5'500, 10};
  EXPECT_EQ(PrefixChains(prompt).homeDepth(), 3U);
  prompt.last_segment_private = true;
  const PrefixChains chains(prompt);
  EXPECT_EQ(chains.homeDepth(), 2U);
  EXPECT_EQ(chains.sharedTokens(), 500U);
  prompt.prefix_segments = {{"own", 5'000}};
  EXPECT_EQ(PrefixChains(prompt).homeDepth(), 0U);
}

}  // namespace
}  // namespace switchsaddle::routing
