#include "switchsaddle/registers/quorum_proposer.h"

#include <gtest/gtest.h>

#include "clients.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* Key = Clients::Key;

/** Records the outcome of one operation. */
struct PendingOperation {
  RegisterOutcome outcome;
  bool ended = false;
  RegisterCallback callback() {
    return [this](const RegisterOutcome& result) {
      outcome = result;
      ended = true;
    };
  }
};

/** A change from one base value, in which only one of several concurrent clients may succeed. */
ChangeFunction swapFrom(const std::string& base, const std::string& next) {
  return [base, next](const std::string& current) -> std::optional<std::string> {
    return current == base ? std::optional<std::string>(next) : std::nullopt;
  };
}

struct FaultRun {
  std::string violation;
  std::size_t succeeded = 0;
  std::size_t started = 0;
  base::ResultCode last_read = base::ResultCode::NoQuorum;
};

FaultRun runUnderFaults(std::uint64_t seed, std::size_t quorum_size, std::size_t wipes) {
  TestOptions options;
  options.proposer.test_quorum_size = quorum_size;
  TestCluster cluster(seed, 5, options);
  Clients clients(cluster);
  FaultInjector faults(cluster, wipes);
  cluster.world.runFor(milliseconds(20));
  cluster.network.conditions.loss = 0.02;
  cluster.network.conditions.duplication = 0.02;
  clients.start(4);
  faults.run(seconds(6));
  clients.stop();
  faults.heal();
  cluster.world.runFor(seconds(5));
  const base::ResultCode last_read = clients.readOnce().code;
  return {clients.history.violation(), clients.history.succeeded(), clients.history.started(),
          last_read};
}

TEST(QuorumProposerTest, ChangesAndReadsWithoutFaults) {
  TestCluster cluster(1, 5);
  cluster.world.runFor(milliseconds(20));
  PendingOperation changed;
  PendingOperation read;
  cluster.core(0).proposer->change(Key, History::increment(7), changed.callback());
  cluster.world.runFor(milliseconds(100));
  EXPECT_EQ(changed.outcome.code, base::ResultCode::Ok);
  EXPECT_TRUE(changed.outcome.changed);
  EXPECT_EQ(changed.outcome.value, "1/7");
  cluster.core(3).proposer->read(Key, read.callback());
  cluster.world.runFor(milliseconds(100));
  EXPECT_EQ(read.outcome.value, "1/7");
  EXPECT_FALSE(read.outcome.changed);
}

TEST(QuorumProposerTest, QueuedOperationsShareRounds) {
  TestCluster cluster(2, 5);
  cluster.world.runFor(milliseconds(20));
  std::vector<PendingOperation> changes(50);
  for (std::size_t index = 0; index < changes.size(); ++index) {
    cluster.core(0).proposer->change(Key, History::increment(index), changes[index].callback());
  }
  cluster.world.runFor(milliseconds(200));
  for (std::size_t index = 0; index < changes.size(); ++index) {
    EXPECT_EQ(changes[index].outcome.value,
              std::to_string(index + 1) + "/" + std::to_string(index));
  }
  EXPECT_LE(cluster.core(0).proposer->counters().attempts, 2U);
}

TEST(QuorumProposerTest, FailsAtOnceWhenAMajorityRefusesConnections) {
  TestCluster cluster(3, 5);
  cluster.world.runFor(milliseconds(20));
  for (const std::size_t index : {2, 3, 4}) {
    cluster.kill(index);
  }
  PendingOperation read;
  cluster.core(0).proposer->read(Key, read.callback());
  EXPECT_TRUE(cluster.world.runUntil([&] { return read.ended; }, milliseconds(50)));
  EXPECT_EQ(read.outcome.code, base::ResultCode::NoQuorum);
}

TEST(QuorumProposerTest, EndsWithNoQuorumAtTheDeadlineInAMinorityPartition) {
  TestCluster cluster(4, 5);
  cluster.world.runFor(milliseconds(20));
  for (const std::size_t index : {2, 3, 4}) {
    cluster.partition(0, index);
  }
  PendingOperation read;
  cluster.core(0).proposer->read(Key, read.callback());
  cluster.world.runFor(milliseconds(1990));
  EXPECT_FALSE(read.ended);
  cluster.world.runFor(milliseconds(20));
  EXPECT_TRUE(read.ended);
  EXPECT_EQ(read.outcome.code, base::ResultCode::NoQuorum);
}

TEST(QuorumProposerTest, ExactlyOneOfSeveralConcurrentSwapsSucceeds) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    TestCluster cluster(seed, 5);
    cluster.world.runFor(milliseconds(20));
    cluster.network.conditions.loss = 0.02;
    cluster.network.conditions.duplication = 0.05;
    std::vector<PendingOperation> swaps(10);
    for (std::size_t index = 0; index < swaps.size(); ++index) {
      const std::string next = "client " + std::to_string(index);
      cluster.core(index % 5).proposer->change(Key, swapFrom("", next), swaps[index].callback());
    }
    cluster.world.runFor(seconds(5));
    std::size_t successful_swaps = 0;
    for (const PendingOperation& swap : swaps) {
      ASSERT_EQ(swap.outcome.code, base::ResultCode::Ok) << "seed " << seed;
      EXPECT_EQ(swap.outcome.value, swaps[0].outcome.value) << "seed " << seed;
      successful_swaps += swap.outcome.changed ? 1 : 0;
    }
    ASSERT_EQ(successful_swaps, 1U) << "seed " << seed;
  }
}

/** The proposer is frozen or killed after a number of events that depends on the seed. */
TEST(QuorumProposerTest, ProposerFrozenOrKilledDuringAChangeDoesNotReplaceALaterValue) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    TestCluster cluster(seed, 5);
    cluster.world.runFor(milliseconds(20));
    PendingOperation stopped;
    cluster.core(0).proposer->change(Key, swapFrom("", "first"), stopped.callback());
    for (std::uint64_t event = 0; event < seed / 2; ++event) {
      cluster.world.step();
    }
    const bool kill = seed % 2 == 0;
    kill ? cluster.kill(0) : cluster.core(0).process.freeze();
    PendingOperation second;
    cluster.core(1).proposer->change(Key, swapFrom("", "second"), second.callback());
    cluster.world.runFor(seconds(3));
    ASSERT_EQ(second.outcome.code, base::ResultCode::Ok);
    cluster.core(0).process.wake();
    cluster.world.runFor(seconds(3));
    PendingOperation last;
    cluster.core(2).proposer->read(Key, last.callback());
    cluster.world.runFor(seconds(1));
    EXPECT_EQ(last.outcome.value, second.outcome.value) << "seed " << seed;
    const bool first_succeeded =
        stopped.ended && stopped.outcome.code == base::ResultCode::Ok && stopped.outcome.changed;
    EXPECT_FALSE(first_succeeded && second.outcome.changed) << "seed " << seed;
  }
}

TEST(QuorumProposerTest, HistoriesAreLinearizableUnderFaults) {
  std::size_t succeeded = 0;
  std::size_t started = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const FaultRun run = runUnderFaults(seed, 0, 2);
    ASSERT_EQ(run.violation, "") << "seed " << seed;
    EXPECT_EQ(run.last_read, base::ResultCode::Ok) << "seed " << seed;
    succeeded += run.succeeded;
    started += run.started;
  }
  RecordProperty("succeeded", static_cast<int>(succeeded));
  RecordProperty("started", static_cast<int>(started));
  EXPECT_GT(succeeded * 3, started);
}

/** Shows that the checker detects quorums without an intersection. */
TEST(QuorumProposerTest, CheckerDetectsQuorumsOfTwoOfFive) {
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    violations += runUnderFaults(seed, 2, 0).violation.empty() ? 0 : 1;
  }
  RecordProperty("violations", static_cast<int>(violations));
  EXPECT_GT(violations, 0U);
}

}  // namespace
}  // namespace switchsaddle::registers
