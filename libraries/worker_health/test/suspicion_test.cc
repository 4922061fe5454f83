#include "switchsaddle/worker_health/suspicion.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::worker_health {
namespace {

using std::chrono::milliseconds;

constexpr const char* Pool = "pool";
constexpr std::size_t Workers = 12;
constexpr std::size_t Fronts = 5;

/** Fronts that tell of workers as the test says, at a core. */
class SuspicionTest : public testing::Test {
 protected:
  SuspicionTest() {
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    for (std::size_t index = 0; index < Workers; ++index) {
      workers::Worker worker;
      worker.entry.id = "worker-" + std::to_string(index);
      worker.entry.service = Pool;
      worker.entry.instance = 1;
      keys.push_back(workerKey(worker.entry));
      snapshot->workers[worker.entry.id] = worker;
    }
    suspicion.setWorkers(snapshot);
  }

  static FrontKey front(std::size_t index) {
    return {{"10.0.0.1", static_cast<std::uint16_t>(index + 1)}, 1};
  }
  static std::string zoneOf(std::size_t index) { return index % 2 == 0 ? "north" : "south"; }

  /** A front tells that of `dispatched` requests to each worker so many failed at some. */
  void tell(std::size_t index, const std::map<std::size_t, float>& failed, float dispatched = 4) {
    wire::HealthReport statement;
    wire::PoolHealth pool;
    pool.pool = poolKey(Pool);
    pool.recent_dispatched = dispatched * Workers;
    for (const auto& [worker, count] : failed) {
      pool.recent_failed += count;
      wire::WorkerHealth health;
      health.worker = keys[worker];
      health.recent_dispatched = dispatched;
      health.recent_failed = count;
      statement.workers.push_back(health);
    }
    statement.pools.push_back(pool);
    ledger.update(front(index), zoneOf(index), statement);
  }
  void reportAll(const std::map<std::size_t, float>& failed) {
    for (std::size_t index = 0; index < Fronts; ++index) {
      tell(index, failed);
    }
  }
  std::vector<std::uint64_t> avoided(const std::string& zone = "north") {
    return suspicion.advice(zone).avoided;
  }
  /** The fronts tell the same again and again. */
  void runTelling(milliseconds time, const std::map<std::size_t, float>& failed) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(500)) {
      reportAll(failed);
      avoided("north");
      avoided("south");
      world.runFor(milliseconds(500));
    }
  }

  simulation::World world{1};
  simulation::Process process{world};
  EvidenceLedger ledger{process};
  Suspicion suspicion{process, ledger};
  std::vector<std::uint64_t> keys;
};

TEST_F(SuspicionTest, AWorkerThatFailsHalfOfItsRequestsIsAvoidedWithinASecond) {
  runTelling(milliseconds(1'000), {{3, 2}});
  EXPECT_EQ(avoided("north"), std::vector{keys[3]});
  EXPECT_EQ(avoided("south"), std::vector{keys[3]});
}

TEST_F(SuspicionTest, AFewFailuresAreBorne) {
  runTelling(milliseconds(5'000), {{3, 0.3F}, {5, 0.2F}});
  EXPECT_TRUE(avoided().empty());
}

TEST_F(SuspicionTest, TheWordOfOneFrontIsNotEnough) {
  tell(0, {{3, 4}});
  for (std::size_t index = 1; index < Fronts; ++index) {
    tell(index, {{3, 0}});
  }
  world.runFor(milliseconds(700));
  EXPECT_TRUE(avoided().empty());
}

TEST_F(SuspicionTest, AnOnlyFrontIsBelieved) {
  tell(0, {{3, 4}}, 6);
  world.runFor(milliseconds(700));
  EXPECT_EQ(avoided(), std::vector{keys[3]});
}

TEST_F(SuspicionTest, FrontsToWhichEveryWorkerFailsAreNotBelieved) {
  std::map<std::size_t, float> everything;
  for (std::size_t worker = 0; worker < Workers; ++worker) {
    everything[worker] = 3;
  }
  for (int round = 0; round < 6; ++round) {
    tell(0, everything);
    tell(1, everything);
    for (std::size_t index = 2; index < Fronts; ++index) {
      tell(index, {{1, 0}});
    }
    EXPECT_TRUE(avoided("north").empty());
    EXPECT_TRUE(avoided("south").empty());
    world.runFor(milliseconds(300));
  }
}

TEST_F(SuspicionTest, AWorkerThatFailsTheCallersOfOneZoneIsAvoidedThereAlone) {
  for (int round = 0; round < 4; ++round) {
    for (std::size_t index = 0; index < Fronts; ++index) {
      tell(index, {{3, zoneOf(index) == "north" ? 2.0F : 0.0F}});
    }
    avoided("north");
    avoided("south");
    world.runFor(milliseconds(400));
  }
  EXPECT_EQ(avoided("north"), std::vector{keys[3]});
  EXPECT_TRUE(avoided("south").empty());
}

TEST_F(SuspicionTest, NeverMoreThanAThirdOfAPoolIsAvoided) {
  std::map<std::size_t, float> failed;
  for (std::size_t worker = 0; worker < Workers / 2; ++worker) {
    failed[worker] = 4;
  }
  std::size_t most = 0;
  for (int round = 0; round < 30; ++round) {
    reportAll(failed);
    most = std::max(most, avoided().size());
    world.runFor(milliseconds(300));
  }
  EXPECT_EQ(most, Workers * 34 / 100);
}

TEST_F(SuspicionTest, WhatFailsEverywhereIsNoSuspicion) {
  std::map<std::size_t, float> failed;
  for (std::size_t worker = 0; worker < Workers; ++worker) {
    failed[worker] = 2;
  }
  runTelling(milliseconds(3'000), failed);
  EXPECT_TRUE(avoided().empty());
}

TEST_F(SuspicionTest, AWorkerComesBackAndMustFailAnew) {
  runTelling(milliseconds(1'000), {{3, 2}});
  ASSERT_FALSE(avoided().empty());
  // Nobody uses it, and what was seen fades.
  world.runFor(milliseconds(3'500));
  EXPECT_TRUE(avoided().empty());
  world.runFor(milliseconds(500));
  EXPECT_TRUE(avoided().empty());
}

TEST_F(SuspicionTest, EachTimeItStaysAwayForLonger) {
  runTelling(milliseconds(1'000), {{3, 2}});
  ASSERT_FALSE(avoided().empty());
  world.runFor(milliseconds(3'500));
  ASSERT_TRUE(avoided().empty());
  runTelling(milliseconds(1'500), {{3, 2}});
  ASSERT_FALSE(avoided().empty());
  world.runFor(milliseconds(4'000));
  EXPECT_FALSE(avoided().empty());
  world.runFor(milliseconds(2'500));
  EXPECT_TRUE(avoided().empty());
}

TEST_F(SuspicionTest, AllFrontsAreAskedOfAWorkerThatOneAccuses) {
  tell(2, {{7, 1}});
  EXPECT_EQ(suspicion.advice("south").watched, std::vector{keys[7]});
}

}  // namespace
}  // namespace switchsaddle::worker_health
