#include "switchsaddle/front/stream/stream_flow.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "fakes.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/streams/relay_machine.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;

std::string chunk(std::uint64_t index, const std::string& run = "r1") {
  const std::string number = std::to_string(index);
  return "id: " + number + "\ndata: {\"run\":\"" + run + "\",\"index\":" + number + "}\n\n";
}

std::string done(std::uint64_t count) {
  return "id: " + std::to_string(count) + "\ndata: [DONE]\n\n";
}

/** Records what one caller received. */
class FakeSink : public StreamSink {
 public:
  void reject(const StreamRejection& value) override {
    EXPECT_FALSE(rejection || ended);
    rejection = value;
  }
  void setRun(const std::string& value, std::uint32_t) override {
    EXPECT_TRUE(run.empty() && events.empty());
    run = value;
  }
  void sendEvent(std::string event, WriteCallback written) override {
    EXPECT_FALSE(rejection || ended);
    events.push_back(std::move(event));
    if (slow) {
      pending_writes.push_back(std::move(written));
    } else {
      written(WriteOutcome::Written);
    }
  }
  void end(ResultCode code) override {
    EXPECT_FALSE(rejection || ended);
    ended = code;
  }

  std::optional<StreamRejection> rejection;
  std::optional<ResultCode> ended;
  std::vector<std::string> events;
  std::string run;
  bool slow = false;
  std::deque<WriteCallback> pending_writes;
};

class StreamFlowTest : public testing::Test {
 protected:
  StreamFlowTest() {
    fleet_view.view.routes["large"] =
        configuration::Route{"large", "completions", {"large"}, "models"};
    router.workers = {fleet_view.addWorker("w1", "models"), fleet_view.addWorker("w2", "models")};
    for (int count = 0; count < 100; ++count) {
      retries.countFirstAttempt("completions");
    }
  }
  std::shared_ptr<FakeSink> run(const std::string& key_hash = FakeFleetView::KeyHash) {
    auto sink = std::make_shared<FakeSink>();
    StreamRequest request;
    request.key_hash = key_hash;
    request.prompt.model = "large";
    handle = flow.run(request, sink);
    return sink;
  }
  void expectReleased() {
    EXPECT_EQ(flow.active(), 0U);
    EXPECT_EQ(*slots.in_use, 0);
    EXPECT_EQ(stages.relay.running(), 0U);
    EXPECT_EQ(router.completions.size(), router.tickets);
  }

  simulation::World world{1};
  simulation::Process process{world};
  FakeSlots slots;
  FakeSession session;
  FakeRouter router;
  FakeWorkers workers;
  FakeFleetView fleet_view;
  RetryBudget retries{process};
  WorkerCircuit circuit{process};
  Counters counters;
  StreamStages stages;
  simulation::CollectingIncidents incidents;
  StreamFlow flow{StreamEnvironment{process, world.random(), slots, session, router, workers,
                                    fleet_view, retries, circuit, counters, stages, &incidents}};
  std::shared_ptr<StreamHandle> handle;
};

TEST_F(StreamFlowTest, RequestsNeverSentAddNothingToTheRetryBudget) {
  while (retries.tryAcquire("completions", 0.1)) {
  }
  session.now = sessions::SessionState::Expired;
  for (int count = 0; count < 20; ++count) {
    run();
  }
  EXPECT_FALSE(retries.tryAcquire("completions", 0.1));
}

TEST_F(StreamFlowTest, KeyRevokedBeforeTheDispatchIsRejected) {
  slots.unresponsive = true;
  const auto queued = run();
  slots.unresponsive = false;
  const auto failing = run();
  ASSERT_EQ(workers.sent.size(), 1U);
  fleet_view.view.keys.clear();
  slots.grantWaiting();
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  EXPECT_EQ(workers.sent.size(), 1U);
  for (const auto& sink : {queued, failing}) {
    ASSERT_TRUE(sink->rejection);
    EXPECT_EQ(sink->rejection->code, ResultCode::UnknownKey);
    EXPECT_FALSE(sink->rejection->sent);
  }
}

TEST_F(StreamFlowTest, RelaysACompleteRun) {
  const auto sink = run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0) + chunk(1));
  workers.sent[0].bytes(done(2));
  EXPECT_EQ(sink->events, (std::vector<std::string>{chunk(0), chunk(1), done(2)}));
  EXPECT_EQ(sink->ended, ResultCode::Ok);
  EXPECT_EQ(sink->run, "r1");
  expectReleased();
  EXPECT_FALSE(router.completions[0].failed);
  EXPECT_EQ(router.completions[0].output_tokens, 2U);
}

TEST_F(StreamFlowTest, CrashBeforeTheFirstChunkIsRetriedAtAnotherWorker) {
  const auto sink = run();
  workers.sent[0].head();
  workers.sent[0].observer->onFailure(WorkerFailure::Lost, false);
  ASSERT_EQ(workers.sent.size(), 2U);
  EXPECT_NE(workers.sent[1].request.address, workers.sent[0].request.address);
  EXPECT_NE(workers.sent[1].request.request_id, workers.sent[0].request.request_id);
  workers.sent[0].bytes(chunk(0, "late"));
  workers.sent[1].head(200, "r2");
  workers.sent[1].bytes(chunk(0, "r2") + done(1));
  EXPECT_EQ(sink->events, (std::vector<std::string>{chunk(0, "r2"), done(1)}));
  EXPECT_TRUE(router.completions[0].failed);
  expectReleased();
}

TEST_F(StreamFlowTest, RejectsAQueuedRequestWhoseKeyWasRemoved) {
  slots.unresponsive = true;
  fleet_view.view.keys["hash"] = configuration::Key{"k", "hash", "editors"};
  const auto sink = run("hash");
  fleet_view.view.keys.clear();
  slots.serveWaiting();
  EXPECT_TRUE(workers.sent.empty());
  ASSERT_TRUE(sink->rejection);
  EXPECT_EQ(sink->rejection->code, ResultCode::UnknownKey);
  EXPECT_FALSE(sink->rejection->sent);
  expectReleased();
}

TEST_F(StreamFlowTest, RejectsARetryWhoseKeyWasRemoved) {
  fleet_view.view.keys["hash"] = configuration::Key{"k", "hash", "editors"};
  const auto sink = run("hash");
  ASSERT_EQ(workers.sent.size(), 1U);
  fleet_view.view.keys.clear();
  workers.sent[0].observer->onFailure(WorkerFailure::Lost, false);
  EXPECT_EQ(workers.sent.size(), 1U);
  ASSERT_TRUE(sink->rejection);
  EXPECT_EQ(sink->rejection->code, ResultCode::UnknownKey);
  expectReleased();
}

TEST_F(StreamFlowTest, BrokenStreamIsReportedWithItsRequestIdAndACompleteOneIsNot) {
  run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0) + done(1));
  EXPECT_TRUE(incidents.all.empty());
  run();
  workers.sent[1].head();
  workers.sent[1].bytes(chunk(0) + chunk(2));
  ASSERT_EQ(incidents.all.size(), 1U);
  EXPECT_EQ(incidents.all[0].event, "stream-broken");
  EXPECT_EQ(incidents.all[0].code, ResultCode::StreamGap);
  EXPECT_EQ(incidents.all[0].request_id, workers.sent[1].request.request_id);
  EXPECT_TRUE(incidents.all[0].dumps_ring);
}

TEST_F(StreamFlowTest, CountsStreamsByOutcomeAndCode) {
  run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0) + done(1));
  run();
  workers.sent[1].head();
  workers.sent[1].bytes(chunk(0) + chunk(2));
  slots.code = ResultCode::OverBranchLimit;
  run();
  EXPECT_EQ((counters.requests.at({"stream", "ran", ResultCode::Ok})), 1U);
  EXPECT_EQ((counters.requests.at({"stream", "broken", ResultCode::StreamGap})), 1U);
  EXPECT_EQ((counters.requests.at({"stream", "not-run", ResultCode::OverBranchLimit})), 1U);
  EXPECT_EQ(counters.requests.size(), 3U);
}

TEST_F(StreamFlowTest, CrashAfterTheFirstChunkEndsWithAnErrorEvent) {
  const auto sink = run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0));
  workers.sent[0].observer->onFailure(WorkerFailure::Lost, false);
  ASSERT_EQ(sink->events.size(), 2U);
  EXPECT_TRUE(sink->events[1].starts_with("event: error\nid: 1\n"));
  EXPECT_EQ(sink->ended, ResultCode::StreamBroken);
  EXPECT_EQ(workers.sent.size(), 1U);
  expectReleased();
}

class BrokenStream : public StreamFlowTest, public testing::WithParamInterface<std::string> {};

TEST_P(BrokenStream, EndsWithAnErrorEventAndNeverWithDone) {
  const auto sink = run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0) + GetParam());
  workers.sent[0].observer->onComplete();
  ASSERT_EQ(sink->events.size(), 2U);
  EXPECT_TRUE(sink->events[1].starts_with("event: error\n"));
  EXPECT_NE(sink->ended, ResultCode::Ok);
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  expectReleased();
}

INSTANTIATE_TEST_SUITE_P(Faults, BrokenStream,
                         testing::Values(chunk(2), chunk(0), chunk(1, "r2"), std::string(), done(2),
                                         std::string("data: [DONE]\n\n")));

TEST_F(StreamFlowTest, FailureWithoutRetryBudgetIsRejectedWithUnknownOutcome) {
  world.runFor(std::chrono::seconds(11));
  const auto sink = run();
  workers.sent[0].head(503);
  ASSERT_TRUE(sink->rejection);
  EXPECT_EQ(sink->rejection->code, ResultCode::RetryBudgetSpent);
  EXPECT_TRUE(sink->rejection->sent);
  EXPECT_EQ(workers.sent.size(), 1U);
  expectReleased();
}

TEST_F(StreamFlowTest, WorkerThatRefusesConnectionsIsExcludedFromTheNextPlacements) {
  run();
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  EXPECT_EQ(fleet_view.refused, std::vector<std::string>{"w1"});
  run();
  ASSERT_EQ(workers.sent.size(), 3U);
  EXPECT_EQ(workers.sent[2].request.address, workers.sent[1].request.address);
}

TEST_F(StreamFlowTest, ExpiredSessionDispatchesNothingButKeepsStreamsInFlight) {
  const auto in_flight = run();
  session.now = sessions::SessionState::Expired;
  const auto sink = run();
  ASSERT_TRUE(sink->rejection);
  EXPECT_EQ(sink->rejection->code, ResultCode::NotServing);
  EXPECT_FALSE(sink->rejection->sent);
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0) + done(1));
  EXPECT_EQ(in_flight->ended, ResultCode::Ok);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(StreamFlowTest, RetryIsRejectedIfTheSessionHasExpired) {
  const auto sink = run();
  session.now = sessions::SessionState::Expired;
  workers.sent[0].observer->onFailure(WorkerFailure::Lost, false);
  EXPECT_EQ(sink->rejection->code, ResultCode::NotServing);
  EXPECT_EQ(workers.sent.size(), 1U);
  expectReleased();
}

TEST_F(StreamFlowTest, RejectsWithTheCodeOfAdmission) {
  slots.code = ResultCode::OverBranchLimit;
  EXPECT_EQ(run()->rejection->code, ResultCode::OverBranchLimit);
  slots.code = ResultCode::Ok;
  router.estimate = std::chrono::seconds(3);
  const auto late = run();
  EXPECT_EQ(late->rejection->code, ResultCode::FirstTokenTooLate);
  EXPECT_EQ(late->rejection->retry_after_ms, 1'000U);
  EXPECT_TRUE(workers.sent.empty());
  expectReleased();
}

TEST_F(StreamFlowTest, FullAdmissionQueueRejectsAtOnce) {
  slots.unresponsive = true;
  std::vector<std::shared_ptr<FakeSink>> queued;
  for (int count = 0; count < 512; ++count) {
    queued.push_back(run());
    EXPECT_FALSE(queued.back()->rejection);
  }
  EXPECT_EQ(run()->rejection->code, ResultCode::QueueFull);
}

TEST_F(StreamFlowTest, SlowCallerPausesItsWorker) {
  const auto sink = run();
  sink->slow = true;
  workers.sent[0].head();
  std::uint64_t index = 0;
  bool resumed = true;
  while (resumed && index < 1'000) {
    resumed = false;
    workers.sent[0].observer->onBytes(chunk(index), [&resumed] { resumed = true; });
    ++index;
  }
  EXPECT_EQ(sink->pending_writes.size(), streams::RelayMachine::DefaultMaximumOutstanding);
  sink->pending_writes.front()(WriteOutcome::Written);
  EXPECT_TRUE(resumed);
}

TEST_F(StreamFlowTest, DisconnectedCallerReleasesTheSlot) {
  const auto sink = run();
  workers.sent[0].head();
  workers.sent[0].bytes(chunk(0));
  handle->cancel();
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  EXPECT_FALSE(sink->ended);
  expectReleased();
}

TEST_F(StreamFlowTest, StreamDeadlineEndsBeforeAndAfterTheFirstChunk) {
  const auto before = run();
  const auto after = run();
  workers.sent[1].head();
  workers.sent[1].bytes(chunk(0));
  world.runFor(std::chrono::seconds(301));
  EXPECT_TRUE(before->rejection);
  EXPECT_EQ(after->ended, ResultCode::StreamBroken);
  expectReleased();
}

}  // namespace
}  // namespace switchsaddle::front
