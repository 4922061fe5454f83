#include "switchsaddle/routing/learned_router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "learned_router_fixture.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(LearnedRouterTest, PlacesNothingWithoutWorkers) {
  publish();
  EXPECT_FALSE(place().has_value());
}

TEST_F(LearnedRouterTest, NeverPlacesOnDrainingRemovedOrEvacuatedWorkersOrThoseOfAnotherPool) {
  addWorkers(4);
  workers_["w0"].draining = true;
  workers_["w1"].unreachable = true;
  workers_["w2"].entry.zone = "z2";
  workers_["foreign"] = workers::Worker{entry("foreign"), false, false};
  workers_["foreign"].entry.service = "other";
  view_.evacuated_zones = {"z2"};
  useConfiguration();
  publish();
  for (int draw = 0; draw < 500; ++draw) {
    const std::optional<Placement> placement = place();
    ASSERT_TRUE(placement);
    EXPECT_EQ(placement->arm, "w3");
    finish(*placement, 50);
  }
}

TEST_F(LearnedRouterTest, PlacesNothingIfEveryWorkerIsExcluded) {
  addWorkers(2);
  EXPECT_FALSE(place({"w0", "w1"}).has_value());
  EXPECT_EQ(place({"w0"})->arm, "w1");
}

TEST_F(LearnedRouterTest, RejectsSamplesBelowTheTokenMinimum) {
  addWorkers(1);
  finish(*place(), 50, 7);
  EXPECT_EQ(rowOf("w0")->samples, 0U);
  finish(*place(), 50, 8);
  EXPECT_EQ(rowOf("w0")->samples, 1U);
}

TEST_F(LearnedRouterTest, AJoiningWorkerStartsAnEpochAndMakesScoresStale) {
  addWorkers(2);
  finish(*place({"w1"}), 50);
  finish(*place({"w0"}), 50);
  EXPECT_EQ(rowOf("w0")->status, "proven");
  const std::uint64_t before = router_.epochOf("m");
  world_.runFor(seconds(1));
  addWorkers(3);
  EXPECT_EQ(router_.epochOf("m"), before + 1);
  EXPECT_EQ(rowOf("w0")->status, "stale");
  EXPECT_DOUBLE_EQ(rowOf("w0")->tokens_per_second, 50);
  EXPECT_EQ(rowOf("w2")->status, "unsampled");
}

TEST_F(LearnedRouterTest, AnUnchangedSnapshotKeepsTheEpoch) {
  addWorkers(2);
  const std::uint64_t before = router_.epochOf("m");
  publish();
  EXPECT_EQ(router_.epochOf("m"), before);
}

TEST_F(LearnedRouterTest, EnumeratesPrefillToDecodePairs) {
  workers_["p"] = workers::Worker{entry("p"), false, false};
  workers_["p"].entry.stage = wire::WorkerStage::Prefill;
  workers_["d1"] = workers::Worker{entry("d1"), false, false};
  workers_["d1"].entry.stage = wire::WorkerStage::Decode;
  workers_["d2"] = workers_["d1"];
  workers_["d2"].entry.id = "d2";
  publish();
  EXPECT_EQ(router_.table("m").size(), 2U);
  const std::optional<Placement> placement = place();
  ASSERT_TRUE(placement && placement->decode);
  EXPECT_EQ(placement->arm, "p>" + placement->decode->entry.id);
}

TEST_F(LearnedRouterTest, SendsRepeatedPrefixesToTheWorkerThatCachedThem) {
  addWorkers(6);
  for (int index = 0; index < 60; ++index) {
    finish(*place(), 50);
  }
  const std::vector<PrefixSegment> segments{{"system", 4000}, {"menu", 4000}};
  Prompt prompt{"m", segments, 8100, 100};
  const std::optional<Placement> first = router_.choose(prompt, route_, {});
  finish(*first, 50);
  int returned = 0;
  for (int index = 0; index < 50; ++index) {
    // One prompt a second: a chain with a higher rate is spread over further homes.
    world_.runFor(seconds(1));
    const std::optional<Placement> next = router_.choose(prompt, route_, {});
    returned += next->arm == first->arm ? 1 : 0;
    finish(*next, 50);
  }
  EXPECT_GE(returned, 45);
}

TEST_F(LearnedRouterTest, SpreadsAChainThatWouldOverloadItsHome) {
  addWorkers(6);
  for (int index = 0; index < 60; ++index) {
    finish(*place(), 50);
  }
  const Prompt prompt{"m", {{"system", 4000}}, 4100, 100};
  std::map<std::string, int> placed;
  for (int index = 0; index < 200; ++index) {
    world_.runFor(milliseconds(100));
    const std::optional<Placement> placement = router_.choose(prompt, route_, {});
    ++placed[placement->arm];
    finish(*placement, 50);
  }
  // Ten prompts a second of two seconds each exceed the share of one worker of eight slots.
  const auto shared = std::count_if(placed.begin(), placed.end(),
                                    [](const auto& item) { return item.second >= 20; });
  EXPECT_GE(shared, 2);
}

TEST_F(LearnedRouterTest, TableGivesCoefficientsAndShares) {
  addWorkers(2);
  finish(*place({"w1"}), 60);
  finish(*place({"w0"}), 40);
  EXPECT_NEAR(rowOf("w0")->expected_share, 0.6, 1e-6);
  EXPECT_NEAR(rowOf("w1")->coefficient, 40.0 / 60.0, 1e-6);
}

TEST_F(LearnedRouterTest, ScoresOfPeersProveAnArmUnlessOlderThanTheEpoch) {
  addWorkers(2);
  world_.runFor(seconds(10));
  wire::RouteScore score;
  score.model = "m";
  score.arm = "w0";
  score.tokens_per_second = 70;
  score.mass = 4;
  score.age_ms = 1'000;
  router_.importScores({score});
  EXPECT_EQ(rowOf("w0")->status, "proven");
  score.arm = "w1";
  score.age_ms = 20'000;
  router_.importScores({score});
  EXPECT_EQ(rowOf("w1")->status, "unsampled");
}

TEST_F(LearnedRouterTest, AReturnedInstanceKeepsItsMeanButNoMass) {
  addWorkers(2);
  for (int index = 0; index < 20; ++index) {
    finish(*place({"w1"}), 50);
  }
  world_.runFor(seconds(1));
  workers_["w0"].entry.instance = 2;
  publish();
  EXPECT_EQ(rowOf("w0")->status, "stale");
  EXPECT_DOUBLE_EQ(rowOf("w0")->tokens_per_second, 50);
  EXPECT_EQ(rowOf("w0")->mass, 0);
  world_.runFor(seconds(3));
  finish(*place({"w1"}), 30);
  EXPECT_EQ(rowOf("w0")->status, "proven");
  EXPECT_NEAR(rowOf("w0")->tokens_per_second, 30, 1e-6);
}

TEST_F(LearnedRouterTest, ExportsABoundedNumberOfScoresWorkersWarmingUpFirst) {
  constexpr int Many = 80;
  addWorkers(Many);
  std::vector<std::string> warm;
  for (int index = 0; index < Many; ++index) {
    warm.push_back("w" + std::to_string(index));
  }
  addWorkers(Many + 1);
  const std::string warming_up = "w" + std::to_string(Many);
  finish(*place(warm), 50);
  for (int index = 0; index < Many; ++index) {
    std::vector<std::string> excluded = warm;
    excluded.erase(excluded.begin() + index);
    excluded.push_back(warming_up);
    world_.runFor(milliseconds(1));
    finish(*place(excluded), 50);
  }
  const std::vector<wire::RouteScore> scores = router_.exportScores();
  ASSERT_EQ(scores.size(), ScoreExchange::MaximumScores);
  EXPECT_EQ(scores[0].arm, warming_up);
  EXPECT_EQ(scores[1].arm, "w" + std::to_string(Many - 1));
}

TEST_F(LearnedRouterTest, FailedStreamsMakeTheArmStale) {
  addWorkers(2);
  finish(*place({"w1"}), 50);
  const std::optional<Placement> placement = place({"w1"});
  Completion failed;
  failed.ticket = placement->ticket;
  failed.failed = true;
  router_.complete(failed);
  EXPECT_EQ(rowOf("w0")->status, "stale");
  EXPECT_EQ(rowOf("w0")->in_flight, 0U);
}

TEST_F(LearnedRouterTest, AWorkerWarmingUpGetsOnePromptAtATimeFromTheFrontsRankedFirst) {
  router_.setFronts({base::NodeAddress{"127.0.0.1", 1}});
  addWorkers(2);
  world_.runFor(seconds(20));
  finish(*place({"w1"}), 50);
  finish(*place({"w0"}), 50);
  addWorkers(3);
  int on_warming_up = 0;
  for (int index = 0; index < 200; ++index) {
    on_warming_up += place()->arm == "w2" ? 1 : 0;
  }
  EXPECT_LE(on_warming_up, 1);
}

}  // namespace
}  // namespace switchsaddle::routing
