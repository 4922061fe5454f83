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
