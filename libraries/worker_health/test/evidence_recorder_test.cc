#include "switchsaddle/worker_health/evidence_recorder.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::worker_health {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Pool = 9;
constexpr std::uint64_t Kind = 4;

class EvidenceRecorderTest : public testing::Test {
 protected:
  std::uint64_t dispatch(std::uint64_t worker, base::Duration prefill = {}) {
    return recorder.onDispatch({worker, Pool, Kind, prefill});
  }
  void run(std::uint64_t worker, DispatchEnd end) {
    const std::uint64_t number = dispatch(worker);
    recorder.onHead(number);
    DispatchSample sample;
    sample.end = end;
    recorder.onEnd(number, sample);
  }
  void stream(std::uint64_t worker, milliseconds longest_pause) {
    const std::uint64_t number = dispatch(worker);
    recorder.onHead(number);
    DispatchSample sample;
    sample.events = 20;
    sample.longest_pause = longest_pause;
    sample.transfer = milliseconds(19 * 40) + longest_pause;
    recorder.onEnd(number, sample);
  }
  wire::HealthReport report() {
    world.runFor(EvidenceRecorder::ReportInterval);
    return recorder.statement();
  }
  static const wire::WorkerHealth* of(const wire::HealthReport& report, std::uint64_t worker) {
    const auto found = std::ranges::find(report.workers, worker, &wire::WorkerHealth::worker);
    return found == report.workers.end() ? nullptr : &*found;
  }

  simulation::World world{1};
  simulation::Process process{world};
  EvidenceRecorder recorder{process};
};

TEST_F(EvidenceRecorderTest, ReportsOnlyRotatedWorkersOfAHealthyPool) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  const wire::HealthReport received = report();
  EXPECT_EQ(received.pools.size(), 1U);
  EXPECT_EQ(received.workers.size(), EvidenceRecorder::RotatedWorkers);
}

TEST_F(EvidenceRecorderTest, ReportsAllWorkersInRotation) {
  for (std::uint64_t worker = 1; worker <= 5; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  std::set<std::uint64_t> reported;
  for (int step = 0; step < 5; ++step) {
    for (const wire::WorkerHealth& health : report().workers) {
      reported.insert(health.worker);
    }
  }
  EXPECT_EQ(reported.size(), 5U);
}

TEST_F(EvidenceRecorderTest, ReportsAFailingWorkerInTheNextReport) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, worker == 30 ? DispatchEnd::Failed : DispatchEnd::Answered);
  }
  const wire::HealthReport received = report();
  ASSERT_NE(of(received, 30), nullptr);
  EXPECT_GT(of(received, 30)->recent_failed, 0.8);
  EXPECT_GT(of(received, 30)->counts.failed, 0.9);
}

TEST_F(EvidenceRecorderTest, ReportsWorkersThatTheCoresWatch) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  recorder.setWatched({7, 8, 900});
  const wire::HealthReport received = report();
  EXPECT_NE(of(received, 7), nullptr);
  EXPECT_NE(of(received, 8), nullptr);
  EXPECT_EQ(of(received, 900), nullptr);
}

TEST_F(EvidenceRecorderTest, DoesNotCountRefusedConnectionsAndCancelledRequests) {
  run(1, DispatchEnd::Unreachable);
  run(1, DispatchEnd::Abandoned);
  run(1, DispatchEnd::Refused);
  const wire::HealthReport received = report();
  ASSERT_NE(of(received, 1), nullptr);
  EXPECT_NEAR(of(received, 1)->counts.dispatched, 1, 0.1);
  EXPECT_EQ(of(received, 1)->counts.failed, 0);
}

TEST_F(EvidenceRecorderTest, CountsARequestWithoutAResponseHeadAsFailed) {
  const std::uint64_t timed_out = dispatch(1);
  const std::uint64_t answering = dispatch(2);
  recorder.onHead(answering);
  world.runFor(EvidenceRecorder::HeadTimeout);
  const wire::HealthReport received = report();
  ASSERT_NE(of(received, 1), nullptr);
  EXPECT_GT(of(received, 1)->recent_failed, 0.8);
  EXPECT_EQ(of(received, 1)->in_flight, 1U);
  // A request that was counted as failed is not counted again when it ends.
  DispatchSample sample;
  sample.end = DispatchEnd::Failed;
  recorder.onEnd(timed_out, sample);
  recorder.onEnd(answering, {});
  const wire::HealthReport later = report();
  EXPECT_NEAR(of(later, 1)->counts.failed, 1, 0.1);
}

TEST_F(EvidenceRecorderTest, CountsAStreamThatPausesLongerThanItsPeersAsStalled) {
  for (int step = 0; step < 5; ++step) {
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
      stream(worker, worker == 4 ? milliseconds(900) : milliseconds(60));
    }
  }
  const wire::HealthReport received = report();
  ASSERT_NE(of(received, 4), nullptr);
  EXPECT_GT(of(received, 4)->counts.stalled, 3);
}

TEST_F(EvidenceRecorderTest, DoesNotCountPausesOfAllWorkersAsStalls) {
  for (int step = 0; step < 5; ++step) {
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
      stream(worker, milliseconds(900));
    }
  }
  EXPECT_EQ(report().pools.front().counts.stalled, 0);
}

TEST_F(EvidenceRecorderTest, CountsPromptsWithALongPrefill) {
  recorder.onEnd(dispatch(1, milliseconds(400)), {});
  recorder.onEnd(dispatch(1, milliseconds(20)), {});
  EXPECT_NEAR(of(report(), 1)->counts.long_prompts, 1, 0.1);
}

TEST_F(EvidenceRecorderTest, SendsNoSecondReportWithinTheInterval) {
  run(1, DispatchEnd::Failed);
  EXPECT_FALSE(report().empty());
  EXPECT_TRUE(recorder.statement().empty());
}

}  // namespace
}  // namespace switchsaddle::worker_health
