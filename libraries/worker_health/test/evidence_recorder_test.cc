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
  wire::HealthReport statement() {
    world.runFor(EvidenceRecorder::StatementInterval);
    return recorder.statement();
  }
  static const wire::WorkerHealth* of(const wire::HealthReport& statement, std::uint64_t worker) {
    const auto found = std::ranges::find(statement.workers, worker, &wire::WorkerHealth::worker);
    return found == statement.workers.end() ? nullptr : &*found;
  }

  simulation::World world{1};
  simulation::Process process{world};
  EvidenceRecorder recorder{process};
};

TEST_F(EvidenceRecorderTest, TellsLittleOfAHealthyPool) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  const wire::HealthReport told = statement();
  EXPECT_EQ(told.pools.size(), 1U);
  EXPECT_EQ(told.workers.size(), EvidenceRecorder::ReportedInTurn);
}

TEST_F(EvidenceRecorderTest, TellsOfAllWorkersInTurn) {
  for (std::uint64_t worker = 1; worker <= 5; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  std::set<std::uint64_t> told;
  for (int round = 0; round < 5; ++round) {
    for (const wire::WorkerHealth& health : statement().workers) {
      told.insert(health.worker);
    }
  }
  EXPECT_EQ(told.size(), 5U);
}

TEST_F(EvidenceRecorderTest, TellsAtOnceOfAWorkerThatFails) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, worker == 30 ? DispatchEnd::Failed : DispatchEnd::Answered);
  }
  const wire::HealthReport told = statement();
  ASSERT_NE(of(told, 30), nullptr);
  EXPECT_GT(of(told, 30)->recent_failed, 0.8);
  EXPECT_GT(of(told, 30)->counts.failed, 0.9);
}

TEST_F(EvidenceRecorderTest, TellsOfWorkersThatTheCoresAskAbout) {
  for (std::uint64_t worker = 1; worker <= 50; ++worker) {
    run(worker, DispatchEnd::Answered);
  }
  recorder.setWatched({7, 8, 900});
  const wire::HealthReport told = statement();
  EXPECT_NE(of(told, 7), nullptr);
  EXPECT_NE(of(told, 8), nullptr);
  EXPECT_EQ(of(told, 900), nullptr);
}

TEST_F(EvidenceRecorderTest, NeitherRefusedConnectionsNorCallersThatLeaveCount) {
  run(1, DispatchEnd::Unreachable);
  run(1, DispatchEnd::Abandoned);
  run(1, DispatchEnd::Refused);
  const wire::HealthReport told = statement();
  ASSERT_NE(of(told, 1), nullptr);
  EXPECT_NEAR(of(told, 1)->counts.dispatched, 1, 0.1);
  EXPECT_EQ(of(told, 1)->counts.failed, 0);
}

TEST_F(EvidenceRecorderTest, AWorkerThatSaysNothingFails) {
  const std::uint64_t silent = dispatch(1);
  const std::uint64_t answering = dispatch(2);
  recorder.onHead(answering);
  world.runFor(EvidenceRecorder::Overdue);
  const wire::HealthReport told = statement();
  ASSERT_NE(of(told, 1), nullptr);
  EXPECT_GT(of(told, 1)->recent_failed, 0.8);
  EXPECT_EQ(of(told, 1)->in_flight, 1U);
  // Its end does not count once more.
  DispatchSample sample;
  sample.end = DispatchEnd::Failed;
  recorder.onEnd(silent, sample);
  recorder.onEnd(answering, {});
  const wire::HealthReport later = statement();
  EXPECT_NEAR(of(later, 1)->counts.failed, 1, 0.1);
}

TEST_F(EvidenceRecorderTest, AStreamThatPausesWhereOthersDoNotHasStalled) {
  for (int round = 0; round < 5; ++round) {
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
      stream(worker, worker == 4 ? milliseconds(900) : milliseconds(60));
    }
  }
  const wire::HealthReport told = statement();
  ASSERT_NE(of(told, 4), nullptr);
  EXPECT_GT(of(told, 4)->counts.stalled, 3);
}

TEST_F(EvidenceRecorderTest, PausesThatAllWorkersHaveAreNoStalls) {
  for (int round = 0; round < 5; ++round) {
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
      stream(worker, milliseconds(900));
    }
  }
  EXPECT_EQ(statement().pools.front().counts.stalled, 0);
}

TEST_F(EvidenceRecorderTest, PromptsThatKeepAWorkerReadingAreCounted) {
  recorder.onEnd(dispatch(1, milliseconds(400)), {});
  recorder.onEnd(dispatch(1, milliseconds(20)), {});
  EXPECT_NEAR(of(statement(), 1)->counts.long_prompts, 1, 0.1);
}

TEST_F(EvidenceRecorderTest, SaysNothingAgainAtOnce) {
  run(1, DispatchEnd::Failed);
  EXPECT_FALSE(statement().empty());
  EXPECT_TRUE(recorder.statement().empty());
}

}  // namespace
}  // namespace switchsaddle::worker_health
