#include "switchsaddle/registers/bootstrap.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "test_cluster.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TestOptions withoutFirstSet() {
  TestOptions options;
  options.first_set_known = false;
  return options;
}

TEST(BootstrapTest, CommitsTheFirstSetOnlyAfterAllInitialCoresAnswered) {
  TestCluster cluster(1, 5, withoutFirstSet());
  for (const std::size_t index : {0, 1, 2, 3}) {
    cluster.restart(index);
  }
  cluster.world.runFor(seconds(3));
  for (const std::size_t index : {0, 1, 2, 3}) {
    EXPECT_EQ(cluster.core(index).acceptor->acceptorSet().epoch, 0U);
  }
  cluster.restart(4);
  cluster.world.runFor(seconds(2));
  for (std::size_t index = 0; index < 5; ++index) {
    EXPECT_EQ(cluster.core(index).acceptor->acceptorSet().epoch, 1U);
    EXPECT_TRUE(cluster.core(index).acceptor->mayVote());
  }
}

TEST(BootstrapTest, CommitsOneSetUnderLossAndKills) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    TestCluster cluster(seed, 5, withoutFirstSet());
    cluster.network.conditions.loss = 0.1;
    for (int round = 0; round < 20; ++round) {
      const std::size_t index = cluster.world.random().below(5);
      cluster.core(index).process.running() ? cluster.kill(index) : cluster.restart(index);
      cluster.world.runFor(milliseconds(cluster.world.random().below(300)));
    }
    for (std::size_t index = 0; index < 5; ++index) {
      cluster.restart(index);
    }
    cluster.world.runFor(seconds(10));
    for (std::size_t index = 0; index < 5; ++index) {
      ASSERT_TRUE(cluster.core(index).acceptor->mayVote()) << "seed " << seed;
      ASSERT_EQ(cluster.core(index).acceptor->acceptorSet().members,
                cluster.core(0).acceptor->acceptorSet().members)
          << "seed " << seed;
    }
  }
}

TEST(BootstrapTest, FirstSetFormsAfterAnyCoreDiedBeforeItAndForgotTheInitialCores) {
  for (std::size_t forgetful = 0; forgetful < 3; ++forgetful) {
    TestCluster cluster(1, 3, withoutFirstSet());
    cluster.restartAsLaterStart(forgetful);
    for (std::size_t index = 0; index < 3; ++index) {
      cluster.restart(index);
    }
    cluster.world.runFor(seconds(10));
    for (std::size_t index = 0; index < 3; ++index) {
      EXPECT_EQ(cluster.core(index).acceptor->acceptorSet().epoch, 1U) << "core " << forgetful;
    }
  }
}

/** Whether a set forms after the core that commits it was restarted as a later start, if one core
 * answered it before and the third neither answered it nor knows the initial cores. */
bool formsAfterRestartOfCommitter(bool wiped) {
  TestCluster cluster(1, 3, withoutFirstSet());
  cluster.restart(0);
  cluster.restart(1);
  cluster.world.runFor(seconds(1));
  if (wiped) {
    cluster.wipe(0);
  }
  cluster.restartAsLaterStart(0);
  cluster.restartAsLaterStart(2);
  cluster.world.runFor(seconds(5));
  return cluster.core(1).acceptor->acceptorSet().epoch == 1;
}

TEST(BootstrapTest, RestartedCommitterLearnsTheInitialCoresFromOneThatAnsweredIt) {
  EXPECT_TRUE(formsAfterRestartOfCommitter(false));
}

TEST(BootstrapTest, WipedCommitterDoesNotLearnTheInitialCoresFromOneThatAnsweredItsFormerInstance) {
  EXPECT_FALSE(formsAfterRestartOfCommitter(true));
}

/** Runs the first start of a fleet in which all cores are killed at the same moment. */
class KilledFirstStartTest : public testing::TestWithParam<int> {
 protected:
  static constexpr std::size_t Cores = 3;

  void startAll() {
    for (std::size_t index = 0; index < Cores; ++index) {
      cluster_.restart(index);
    }
  }
  void restartAllAsLaterStart() {
    for (std::size_t index = 0; index < Cores; ++index) {
      cluster_.kill(index);
    }
    cluster_.world.runFor(milliseconds(cluster_.world.random().below(1'000)));
    for (std::size_t index = 0; index < Cores; ++index) {
      cluster_.restartAsLaterStart(index);
    }
  }
  void expectOneSet() {
    const wire::AcceptorSet& set = cluster_.core(0).acceptor->acceptorSet();
    EXPECT_EQ(set.members.size(), Cores);
    for (std::size_t index = 0; index < Cores; ++index) {
      EXPECT_TRUE(cluster_.core(index).acceptor->mayVote()) << index;
      EXPECT_EQ(cluster_.core(index).acceptor->acceptorSet().members, set.members) << index;
    }
  }

  TestCluster cluster_{static_cast<std::uint64_t>(GetParam()) + 1, Cores, withoutFirstSet()};
};

TEST_P(KilledFirstStartTest, FirstSetFormsAlthoughNoCoreKnowsTheInitialCores) {
  startAll();
  cluster_.world.runFor(milliseconds(GetParam()));
  restartAllAsLaterStart();
  cluster_.world.runFor(seconds(5));
  expectOneSet();
}

TEST_P(KilledFirstStartTest, FirstSetFormsAfterASeriesOfKills) {
  startAll();
  for (int kill = 0; kill < 4; ++kill) {
    cluster_.world.runFor(milliseconds(GetParam()));
    restartAllAsLaterStart();
  }
  cluster_.world.runFor(seconds(5));
  expectOneSet();
}

INSTANTIATE_TEST_SUITE_P(KillTimesInMs, KilledFirstStartTest,
                         testing::Values(0, 1, 2, 5, 10, 20, 50, 100, 200, 240, 250, 260, 300, 400,
                                         500, 600, 1'000, 1'200, 1'300, 1'500, 2'000));

/** Three empty seeds that were started after the first start of the fleet. */
class EmptySeedsTest : public testing::Test {
 protected:
  /** @return whether they form a set. */
  static bool formSet(TestCluster& cluster) {
    for (std::size_t index = 0; index < 3; ++index) {
      cluster.restartAsLaterStart(index);
    }
    cluster.world.runFor(seconds(10));
    return cluster.core(0).acceptor->acceptorSet().epoch != 0;
  }
};

TEST_F(EmptySeedsTest, FormASetIfNoToleratedLossCouldHaveEmptiedAllOfThem) {
  TestOptions options = withoutFirstSet();
  options.election.tolerated_core_losses = 2;
  TestCluster cluster(1, 3, options);
  EXPECT_TRUE(formSet(cluster));
}

TEST_F(EmptySeedsTest, FormNoSetIfTheToleratedCoresCouldHaveBeenAllOfThem) {
  TestOptions options = withoutFirstSet();
  options.election.tolerated_core_losses = 3;
  TestCluster cluster(1, 3, options);
  EXPECT_FALSE(formSet(cluster));
}

TEST_F(EmptySeedsTest, FormNoSetIfTheLossOfTheirZoneCouldHaveEmptiedAllOfThem) {
  TestOptions options = withoutFirstSet();
  options.election.tolerated_zone_losses = 1;
  TestCluster cluster(1, 3, options);
  EXPECT_FALSE(formSet(cluster));
}

TEST_F(EmptySeedsTest, FormNoSetWhileOneOfThemIsAbsent) {
  TestCluster cluster(1, 3, withoutFirstSet());
  cluster.restartAsLaterStart(0);
  cluster.restartAsLaterStart(1);
  cluster.world.runFor(seconds(10));
  EXPECT_EQ(cluster.core(0).acceptor->acceptorSet().epoch, 0U);
}

TEST_F(EmptySeedsTest, AdoptTheSetThatOneOfThemStillHas) {
  for (const std::size_t keeper : {0, 1, 2}) {
    TestCluster cluster(1, 3);
    cluster.world.runFor(seconds(1));
    const auto members = cluster.core(keeper).acceptor->acceptorSet().members;
    for (std::size_t index = 0; index < 3; ++index) {
      index == keeper ? cluster.kill(index) : cluster.wipe(index);
    }
    formSet(cluster);
    for (std::size_t index = 0; index < 3; ++index) {
      EXPECT_EQ(cluster.core(index).acceptor->acceptorSet().members, members) << keeper;
    }
  }
}

TEST(BootstrapTest, WipedCoreDoesNotVoteAndBecomesACandidate) {
  for (const std::size_t wiped : {0, 3}) {
    TestCluster cluster(7, 5);
    cluster.world.runFor(milliseconds(50));
    const auto members = cluster.core(1).acceptor->acceptorSet().members;
    cluster.wipe(wiped);
    cluster.restart(wiped);
    cluster.world.runFor(seconds(3));
    const Acceptor& acceptor = *cluster.core(wiped).acceptor;
    EXPECT_EQ(acceptor.acceptorSet().members, members);
    EXPECT_FALSE(acceptor.mayVote());
    const auto& candidates = cluster.core(1).candidates;
    EXPECT_NE(std::find(candidates.begin(), candidates.end(), acceptor.instance()),
              candidates.end());
  }
}

}  // namespace
}  // namespace switchsaddle::registers
