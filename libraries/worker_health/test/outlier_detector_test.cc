#include "switchsaddle/worker_health/outlier_detector.h"

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

/** A core that receives the reports of five fronts in two zones. */
class OutlierDetectorTest : public testing::Test {
 protected:
  OutlierDetectorTest() {
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    for (std::size_t index = 0; index < Workers; ++index) {
      workers::Worker worker;
      worker.entry.id = "worker-" + std::to_string(index);
      worker.entry.service = Pool;
      worker.entry.instance = 1;
      keys.push_back(workerKey(worker.entry));
      snapshot->workers[worker.entry.id] = worker;
    }
    detector.setWorkers(snapshot);
  }

  static FrontKey front(std::size_t index) {
    return {{"10.0.0.1", static_cast<std::uint16_t>(index + 1)}, 1};
  }
  static std::string zoneOf(std::size_t index) { return index % 2 == 0 ? "north" : "south"; }

  /** One front reports `dispatched` requests to each worker; `failed` holds the failures by worker.
   */
  void report(std::size_t index, const std::map<std::size_t, float>& failed, float dispatched = 4) {
    wire::HealthReport health_report;
    wire::PoolHealth pool;
    pool.pool = poolKey(Pool);
    pool.recent_dispatched = dispatched * Workers;
    for (const auto& [worker, count] : failed) {
      pool.recent_failed += count;
      wire::WorkerHealth health;
      health.worker = keys[worker];
      health.recent_dispatched = dispatched;
      health.recent_failed = count;
      health_report.workers.push_back(health);
    }
    health_report.pools.push_back(pool);
    ledger.update(front(index), zoneOf(index), health_report);
  }
  void reportAll(const std::map<std::size_t, float>& failed) {
    for (std::size_t index = 0; index < Fronts; ++index) {
      report(index, failed);
    }
  }
  std::vector<std::uint64_t> ejected(const std::string& zone = "north") {
    return detector.advice(zone).ejected;
  }
  /** All fronts send the same report repeatedly. */
  void runReporting(milliseconds time, const std::map<std::size_t, float>& failed) {
    for (milliseconds elapsed{0}; elapsed < time; elapsed += milliseconds(500)) {
      reportAll(failed);
      ejected("north");
      ejected("south");
      world.runFor(milliseconds(500));
    }
  }

  simulation::World world{1};
  simulation::Process process{world};
  EvidenceLedger ledger{process};
  OutlierDetector detector{process, ledger};
  std::vector<std::uint64_t> keys;
};

TEST_F(OutlierDetectorTest, EjectsAWorkerThatFailsHalfOfItsRequestsWithinASecond) {
  runReporting(milliseconds(1'000), {{3, 2}});
  EXPECT_EQ(ejected("north"), std::vector{keys[3]});
  EXPECT_EQ(ejected("south"), std::vector{keys[3]});
}

TEST_F(OutlierDetectorTest, ToleratesAFewFailures) {
  runReporting(milliseconds(5'000), {{3, 0.3F}, {5, 0.2F}});
  EXPECT_TRUE(ejected().empty());
}

TEST_F(OutlierDetectorTest, FailuresAtOneOfSeveralFrontsDoNotEjectAWorker) {
  report(0, {{3, 4}});
  for (std::size_t index = 1; index < Fronts; ++index) {
    report(index, {{3, 0}});
  }
  world.runFor(milliseconds(700));
  EXPECT_TRUE(ejected().empty());
}

TEST_F(OutlierDetectorTest, FailuresAtTheOnlyFrontEjectAWorker) {
  report(0, {{3, 4}}, 6);
  world.runFor(milliseconds(700));
  EXPECT_EQ(ejected(), std::vector{keys[3]});
}

TEST_F(OutlierDetectorTest, IgnoresFrontsAtWhichEveryWorkerFails) {
  std::map<std::size_t, float> all_workers;
  for (std::size_t worker = 0; worker < Workers; ++worker) {
    all_workers[worker] = 3;
  }
  for (int step = 0; step < 6; ++step) {
    report(0, all_workers);
    report(1, all_workers);
    for (std::size_t index = 2; index < Fronts; ++index) {
      report(index, {{1, 0}});
    }
    EXPECT_TRUE(ejected("north").empty());
    EXPECT_TRUE(ejected("south").empty());
    world.runFor(milliseconds(300));
  }
}

TEST_F(OutlierDetectorTest, EjectsAWorkerThatFailsInOneZoneInThatZoneOnly) {
  for (int step = 0; step < 4; ++step) {
    for (std::size_t index = 0; index < Fronts; ++index) {
      report(index, {{3, zoneOf(index) == "north" ? 2.0F : 0.0F}});
    }
    ejected("north");
    ejected("south");
    world.runFor(milliseconds(400));
  }
  EXPECT_EQ(ejected("north"), std::vector{keys[3]});
  EXPECT_TRUE(ejected("south").empty());
}

TEST_F(OutlierDetectorTest, EjectsAtMostAThirdOfAPool) {
  std::map<std::size_t, float> failed;
  for (std::size_t worker = 0; worker < Workers / 2; ++worker) {
    failed[worker] = 4;
  }
  std::size_t maximum = 0;
  for (int step = 0; step < 30; ++step) {
    reportAll(failed);
    maximum = std::max(maximum, ejected().size());
    world.runFor(milliseconds(300));
  }
  EXPECT_EQ(maximum, Workers * 34 / 100);
}

TEST_F(OutlierDetectorTest, EjectsNothingIfAllWorkersFailAlike) {
  std::map<std::size_t, float> failed;
  for (std::size_t worker = 0; worker < Workers; ++worker) {
    failed[worker] = 2;
  }
  runReporting(milliseconds(3'000), failed);
  EXPECT_TRUE(ejected().empty());
}

TEST_F(OutlierDetectorTest, AnEjectionEndsAndIsNotRepeatedWithoutNewFailures) {
  runReporting(milliseconds(1'000), {{3, 2}});
  ASSERT_FALSE(ejected().empty());
  // No requests are sent to the ejected worker, so the evidence decays.
  world.runFor(milliseconds(3'500));
  EXPECT_TRUE(ejected().empty());
  world.runFor(milliseconds(500));
  EXPECT_TRUE(ejected().empty());
}

TEST_F(OutlierDetectorTest, ASecondEjectionLastsLongerThanTheFirst) {
  runReporting(milliseconds(1'000), {{3, 2}});
  ASSERT_FALSE(ejected().empty());
  world.runFor(milliseconds(3'500));
  ASSERT_TRUE(ejected().empty());
  runReporting(milliseconds(1'500), {{3, 2}});
  ASSERT_FALSE(ejected().empty());
  world.runFor(milliseconds(4'000));
  EXPECT_FALSE(ejected().empty());
  world.runFor(milliseconds(2'500));
  EXPECT_TRUE(ejected().empty());
}

TEST_F(OutlierDetectorTest, WatchesAWorkerThatFailsAtOneFront) {
  report(2, {{7, 1}});
  EXPECT_EQ(detector.advice("south").watched, std::vector{keys[7]});
}

}  // namespace
}  // namespace switchsaddle::worker_health
