#include "switchsaddle/registers/quorum_proposer.h"

#include <gtest/gtest.h>

#include "cluster.h"
#include "history.h"

namespace switchsaddle::registers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* Key = "configuration";

/** Runs clients and faults on a cluster and records what the clients saw. */
class Chaos {
 public:
  Chaos(std::uint64_t seed, ProposerOptions options, std::size_t most_wipes)
      : cluster(seed, 5, options), wipes_left_(most_wipes) {}

  void run(base::Duration duration) {
    cluster.network.conditions.loss = 0.02;
    cluster.network.conditions.duplication = 0.02;
    cluster.world.runFor(milliseconds(20));
    for (std::size_t client = 0; client < 4; ++client) {
      clientStep();
    }
    const base::TimePoint end = cluster.world.now() + duration;
    while (cluster.world.now() < end) {
      cluster.world.runFor(milliseconds(10 + cluster.world.random().below(120)));
      fault();
    }
    stopping_ = true;
  }

  /** Ends every fault and lets the operations under way end. */
  void heal() {
    cluster.network.healAll();
    cluster.network.conditions.loss = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index) {
      cluster.core(index).process.wake();
      cluster.restart(index);
    }
    cluster.world.runFor(seconds(5));
  }

  /** Reads at the first node that knows the acceptor set; a wiped one has yet to learn it. */
  RegisterOutcome readAtMember() {
    std::size_t index = 0;
    while (cluster.core(index).acceptor->acceptorSet().epoch == 0) {
      ++index;
    }
    RegisterOutcome seen;
    bool done = false;
    const std::size_t operation = history.begin(false, cluster.world.now());
    cluster.core(index).proposer->read(Key, [&](const RegisterOutcome& outcome) {
      history.end(operation, outcome, cluster.world.now());
      seen = outcome;
      done = true;
    });
    cluster.world.runUntil([&] { return done; }, seconds(10));
    return seen;
  }

  TestCluster cluster;
  History history;

 private:
  void clientStep() {
    if (stopping_) {
      return;
    }
    simulation::World& world = cluster.world;
    const std::size_t index = world.random().below(cluster.size());
    TestCore& core = cluster.core(index);
    if (core.process.running() && !core.process.frozen()) {
      operate(core);
    }
    world.schedule(milliseconds(1 + world.random().below(30)), [this] { clientStep(); });
  }

  void operate(TestCore& core) {
    const bool is_change = cluster.world.random().chance(0.6);
    const std::size_t operation = history.begin(is_change, cluster.world.now());
    const auto callback = [this, operation](const RegisterOutcome& outcome) {
      history.end(operation, outcome, cluster.world.now());
    };
    if (is_change) {
      core.proposer->change(Key, History::increment(operation), callback);
    } else {
      core.proposer->read(Key, callback);
    }
  }

  void fault() {
    simulation::World& world = cluster.world;
    const std::size_t index = world.random().below(cluster.size());
    TestCore& core = cluster.core(index);
    switch (world.random().below(9)) {
      case 0:
        cluster.cutAtRandom(2);
        break;
      case 1:
        cluster.cutAtRandom(1);
        break;
      case 2:
      case 3:
        cluster.network.healAll();
        break;
      case 4:
        cluster.kill(index);
        break;
      case 5:
        core.process.freeze();
        break;
      case 6:
        if (wipes_left_ > 0 && world.random().chance(0.3)) {
          --wipes_left_;
          cluster.wipe(index);
        }
        break;
      default:
        core.process.wake();
        cluster.restart(index);
        break;
    }
  }

  std::size_t wipes_left_;
  bool stopping_ = false;
};

TEST(QuorumProposerTest, ChangesAndReadsOnAQuietNetwork) {
  TestCluster cluster(1, 5);
  cluster.world.runFor(milliseconds(20));
  RegisterOutcome changed;
  cluster.core(0).proposer->change(Key, History::increment(7),
                                   [&](const RegisterOutcome& outcome) { changed = outcome; });
  cluster.world.runFor(milliseconds(100));
  EXPECT_EQ(changed.code, base::ResultCode::Ok);
  EXPECT_TRUE(changed.changed);
  EXPECT_EQ(changed.value, "1/7");
  RegisterOutcome seen;
  cluster.core(3).proposer->read(Key, [&](const RegisterOutcome& outcome) { seen = outcome; });
  cluster.world.runFor(milliseconds(100));
  EXPECT_EQ(seen.value, "1/7");
  EXPECT_FALSE(seen.changed);
}

TEST(QuorumProposerTest, HistoriesAreLinearizableUnderFaults) {
  std::size_t succeeded = 0;
  std::size_t started = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Chaos chaos(seed, {}, 2);
    chaos.run(seconds(6));
    chaos.heal();
    EXPECT_EQ(chaos.readAtMember().code, base::ResultCode::Ok) << "seed " << seed;
    ASSERT_EQ(chaos.history.violation(), "") << "seed " << seed;
    succeeded += chaos.history.succeeded();
    started += chaos.history.started();
  }
  RecordProperty("succeeded", static_cast<int>(succeeded));
  RecordProperty("started", static_cast<int>(started));
  EXPECT_GT(succeeded * 3, started);
}

/** The checker finds the fault that quorums without an intersection make. */
TEST(QuorumProposerTest, CheckerFindsQuorumsOfTwoOfFive) {
  std::size_t violations = 0;
  ProposerOptions options;
  options.test_quorum_size = 2;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Chaos chaos(seed, options, 0);
    chaos.run(seconds(6));
    violations += chaos.history.violation().empty() ? 0 : 1;
  }
  EXPECT_GT(violations, 0U);
}

}  // namespace
}  // namespace switchsaddle::registers
