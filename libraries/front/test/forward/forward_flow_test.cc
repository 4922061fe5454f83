#include "switchsaddle/front/forward/forward_flow.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "forward/forward_flow_fixture.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/log.h"

namespace switchsaddle::front {
namespace {

using configuration::ForwardKind;
using testing::AllOf;
using testing::HasSubstr;

TEST_F(ForwardFlowTest, ForwardsTheMessageUnchangedExceptForTheHeadersItSets) {
  const auto writer = run("once", {{"Deadline-Ms", "1500"}});
  const http::Request& message = last().dispatch.message;
  EXPECT_EQ(message.method, "POST");
  EXPECT_EQ(message.target, "/once/x?y=1");
  EXPECT_EQ(message.body, "body");
  EXPECT_EQ(message.header("Other"), "kept");
  EXPECT_EQ(message.header("Tenant"), "t");
  EXPECT_EQ(message.header("Deadline-Ms"), "1500");
  EXPECT_EQ(message.header("Request-Priority"), "1");
  EXPECT_EQ(message.header("Caller-Key"), "");
  EXPECT_EQ(message.header("X-Hop"), "");
  EXPECT_EQ(message.header("Host"), "A.example:80");
  EXPECT_FALSE(message.header("Expect-Instance").empty());
  last().answer(201, "made");
  ASSERT_TRUE(writer->response.has_value());
  EXPECT_EQ(writer->response->status, 201);
  EXPECT_EQ(writer->response->body, "made");
  EXPECT_EQ(writer->response->header("Seal"), "sealed");
  EXPECT_EQ(flow.active(), 0U);
}

TEST_F(ForwardFlowTest, RejectsRequestsWithoutRouteOrKey) {
  EXPECT_THROW(run("none"), base::Error);
  http::Request message;
  message.target = "/once/";
  message.headers = {{"Host", "a.example"}};
  EXPECT_THROW(parseForwardRequest(fleet_view.configuration(), message, {}), base::Error);
  message.headers.push_back({"Caller-Key", "wrong"});
  EXPECT_THROW(parseForwardRequest(fleet_view.configuration(), message, {}), base::Error);
}

TEST_F(ForwardFlowTest, NonIdempotentRequestIsNotRetriedOnceItMayHaveRun) {
  const auto writer = run("once");
  last().lose();
  EXPECT_EQ(port.sent.size(), 1U);
  ASSERT_TRUE(writer->response.has_value());
  EXPECT_EQ(writer->response->status, 502);
  EXPECT_EQ(writer->response->header("Seal"), "");
}

TEST_F(ForwardFlowTest, StatusThatPromisesNoRunIsNotPassedOnWithoutTheWorkersConfirmation) {
  for (const std::uint16_t status : {408, 429, 503}) {
    const auto writer = run("once");
    last().answer(status, "busy");
    ASSERT_TRUE(writer->response.has_value());
    EXPECT_EQ(writer->response->status, 502) << status;
    EXPECT_EQ(writer->response->header("Seal"), "");
  }
  EXPECT_EQ(port.sent.size(), 3U);
}

TEST_F(ForwardFlowTest, RequestThatDidNotRunIsRetriedAtAnotherWorker) {
  const auto writer = run("once");
  last().reject();
  ASSERT_EQ(port.sent.size(), 2U);
  EXPECT_NE(port.sent[0].header("Expect-Instance"), port.sent[1].header("Expect-Instance"));
  last().observer->onFailure(WorkerFailure::NotSent, true);
  ASSERT_EQ(port.sent.size(), 3U);
  last().reject();
  ASSERT_TRUE(writer->response.has_value());
  EXPECT_EQ(writer->response->status, 503);
  EXPECT_FALSE(writer->response->header("Retry-After").empty());
}

TEST_F(ForwardFlowTest, RequestThatMustRunOnceIsSentToNoAddressTwice) {
  fleet_view.snapshot.workers.erase("w3");
  fleet_view.snapshot.workers.at("w2").entry.address =
      fleet_view.snapshot.workers.at("w1").entry.address;
  for (const char* route : {"once", "stream"}) {
    const auto writer = run(route);
    const std::size_t sent = port.sent.size();
    last().reject();
    EXPECT_EQ(port.sent.size(), sent) << route;
    ASSERT_TRUE(writer->response.has_value());
    EXPECT_EQ(writer->response->status, 503);
  }
}

TEST_F(ForwardFlowTest, RequestThatMustRunOnceHasAConnectionOfItsOwn) {
  run("once");
  EXPECT_TRUE(last().dispatch.own_connection);
  run("again");
  EXPECT_FALSE(last().dispatch.own_connection);
}

TEST_F(ForwardFlowTest, AddressThatRefusedAConnectionMayGetTheRequestFromItsNextInstance) {
  fleet_view.snapshot.workers.erase("w3");
  fleet_view.snapshot.workers.at("w2").entry.address =
      fleet_view.snapshot.workers.at("w1").entry.address;
  run("once");
  last().observer->onFailure(WorkerFailure::NotSent, true);
  EXPECT_EQ(port.sent.size(), 2U);
}

TEST_F(ForwardFlowTest, ResentRequestIsLoggedWithBothWorkersAndTheStatus) {
  run("once");
  last().reject();
  ASSERT_EQ(port.sent.size(), 2U);
  EXPECT_THAT(
      base::processLogRing().lines().back(),
      AllOf(HasSubstr("event=request-resent"), HasSubstr("request_id=r-1"),
            HasSubstr(" worker=" + port.sent[0].header("Expect-Instance")), HasSubstr("status=503"),
            HasSubstr("next_worker=" + port.sent[1].header("Expect-Instance"))));
  EXPECT_EQ(counters.resends, 1U);
}

TEST_F(ForwardFlowTest, RequestThatEndsWithoutAnAnswerIsLogged) {
  run("once");
  last().lose();
  EXPECT_THAT(base::processLogRing().lines().back(),
              AllOf(HasSubstr("event=request-unanswered"), HasSubstr("request_id=r-1")));
}

TEST_F(ForwardFlowTest, IdempotentRequestIsRetriedUpToTheAttemptsOfItsRoute) {
  const auto writer = run("again");
  last().lose();
  ASSERT_EQ(port.sent.size(), 2U);
  last().lose();
  EXPECT_EQ(port.sent.size(), 2U);
  EXPECT_EQ(writer->response->status, 502);
}

TEST_F(ForwardFlowTest, ErrorResponseIsForwardedIfNoOtherWorkerSucceeds) {
  const auto writer = run("again");
  last().answer(500, "broken");
  ASSERT_EQ(port.sent.size(), 2U);
  last().lose();
  EXPECT_EQ(writer->response->status, 500);
  EXPECT_EQ(writer->response->body, "broken");
  EXPECT_EQ(writer->response->header("Seal"), "sealed");
}

TEST_F(ForwardFlowTest, RequestIsNotRetriedBeyondTheRetryBudget) {
  ForwardFlow flow_without_retries{ForwardEnvironment{process,
                                                      world.random(),
                                                      port,
                                                      placer,
                                                      fleet_view,
                                                      retries,
                                                      circuit,
                                                      quotas,
                                                      health,
                                                      counters,
                                                      {},
                                                      {0, 0}}};
  http::Request message;
  message.method = "POST";
  message.target = "/again/";
  message.headers = {{"Host", "a.example"}, {"Caller-Key", "secret"}};
  auto writer = std::make_shared<ForwardWriter>();
  flow_without_retries.run(parseForwardRequest(fleet_view.configuration(), message, {}), writer);
  last().lose();
  EXPECT_EQ(port.sent.size(), 1U);
  EXPECT_EQ(writer->response->status, 502);
}

TEST_F(ForwardFlowTest, RelaysCompleteEventsAndEndsWithTheWorker) {
  const auto writer = run("stream");
  last().head(200, {{"Content-Type", "text/event-stream"}});
  EXPECT_FALSE(writer->started.has_value());
  last().bytes("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(writer->started->header("Content-Type"), "text/event-stream");
  EXPECT_EQ(writer->body, "id: 1\ndata: a\n\n");
  last().bytes("ta: b\n\n");
  last().observer->onComplete();
  EXPECT_EQ(writer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(writer->ended);
  EXPECT_EQ(flow.active(), 0U);
}

TEST_F(ForwardFlowTest, BrokenStreamIsAborted) {
  for (const bool within_event : {false, true}) {
    const auto writer = run("stream");
    last().head(200);
    last().bytes(within_event ? "id: 1\ndata: a\n\nid: 2\nda" : "id: 1\ndata: a\n\n");
    if (within_event) {
      last().observer->onComplete();
    } else {
      last().lose();
    }
    EXPECT_TRUE(writer->aborted);
    EXPECT_FALSE(writer->ended);
    EXPECT_EQ(writer->body, "id: 1\ndata: a\n\n");
  }
}

TEST_F(ForwardFlowTest, ResumableStreamContinuesAfterItsLastCompleteEvent) {
  const auto writer = run("resumed");
  last().head(200, {{"Run", "first"}});
  last().bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  last().lose();
  ASSERT_EQ(port.sent.size(), 2U);
  EXPECT_EQ(last().header("Last-Event-ID"), "2");
  last().head(200, {{"Run", "second"}});
  last().bytes("id: 3\ndata: c\n\n");
  last().observer->onComplete();
  EXPECT_EQ(writer->started->header("Run"), "first");
  EXPECT_EQ(writer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_TRUE(writer->ended);
}

TEST_F(ForwardFlowTest, ResumableStreamMovesFromAWorkerInMaintenanceAfterItsLastCompleteEvent) {
  const auto writer = run("resumed");
  const std::string previous_worker = last().header("Expect-Instance");
  last().head(200, {{"Run", "first"}});
  last().bytes("id: 1\ndata: a\n\nid: 2\nda");
  fleet_view.view.workers_in_maintenance = {previous_worker};
  flow.migrateFromMaintenance(fleet_view.view);
  ASSERT_EQ(port.sent.size(), 2U);
  EXPECT_TRUE(port.sent.front().call->cancelled);
  EXPECT_NE(last().header("Expect-Instance"), previous_worker);
  EXPECT_EQ(last().header("Last-Event-ID"), "1");
  last().head(200);
  last().bytes("id: 2\ndata: b\n\n");
  last().observer->onComplete();
  EXPECT_EQ(writer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(writer->ended);
}

TEST_F(ForwardFlowTest, NonResumableRequestCompletesAtAWorkerInMaintenance) {
  const auto once = run("once");
  fleet_view.view.workers_in_maintenance = {last().header("Expect-Instance")};
  flow.migrateFromMaintenance(fleet_view.view);
  EXPECT_EQ(port.sent.size(), 1U);
  EXPECT_FALSE(last().call->cancelled);
  last().answer(200, "done");
  EXPECT_EQ(once->response->body, "done");
}

TEST_F(ForwardFlowTest, NoNewRequestIsSentToAWorkerInMaintenance) {
  fleet_view.view.workers_in_maintenance = {"w1", "w3"};
  for (int count = 0; count < 5; ++count) {
    run("once");
    EXPECT_EQ(last().header("Expect-Instance"), "w2");
  }
}

TEST_F(ForwardFlowTest, EjectedWorkerIsUsedOnlyIfThereIsNoOther) {
  const auto key_of = [this](const std::string& id) {
    return worker_health::workerKey(fleet_view.workers()->workers.at(id).entry);
  };
  placer.setEjected({key_of("w1"), key_of("w2")});
  for (int count = 0; count < 5; ++count) {
    run("once");
    EXPECT_EQ(last().header("Expect-Instance"), "w3");
  }
  placer.setEjected({key_of("w1"), key_of("w2"), key_of("w3")});
  const std::size_t before = port.sent.size();
  run("once");
  EXPECT_EQ(port.sent.size(), before + 1);
}

TEST_F(ForwardFlowTest, ListOfEjectedWorkersExpires) {
  placer.setEjected({worker_health::workerKey(fleet_view.workers()->workers.at("w1").entry),
                     worker_health::workerKey(fleet_view.workers()->workers.at("w2").entry)});
  world.runFor(std::chrono::seconds(4));
  std::set<std::string> used;
  for (int count = 0; count < 6; ++count) {
    run("once");
    used.insert(last().header("Expect-Instance"));
  }
  EXPECT_EQ(used.size(), 3U);
}

TEST_F(ForwardFlowTest, HealthReportContainsTheFailuresOfAWorker) {
  run("once");
  last().lose();
  world.runFor(std::chrono::seconds(1));
  const wire::HealthReport report = health.statement();
  ASSERT_FALSE(report.workers.empty());
  EXPECT_GT(report.workers.front().recent_failed, 0.5);
}

TEST_F(ForwardFlowTest, RepeatedEventAfterAResumeAbortsTheStream) {
  const auto writer = run("resumed");
  last().head(200);
  last().bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  last().lose();
  last().head(200);
  last().bytes("id: 2\ndata: b\n\n");
  EXPECT_TRUE(writer->aborted);
  EXPECT_EQ(writer->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(ForwardFlowTest, DeadlineEndsTheRequestWithAResponse) {
  const auto unanswered = run("once");
  world.runFor(std::chrono::milliseconds(2'001));
  ASSERT_TRUE(unanswered->response.has_value());
  EXPECT_EQ(unanswered->response->status, 504);
  EXPECT_TRUE(last().call->cancelled);
  const auto streaming = run("stream", {{"Deadline-Ms", "500"}});
  last().head(200);
  last().bytes("id: 1\ndata: a\n\n");
  world.runFor(std::chrono::milliseconds(501));
  EXPECT_TRUE(streaming->aborted);
  EXPECT_EQ(flow.active(), 0U);
}

TEST_F(ForwardFlowTest, RequestsInFlightAtTheStopDeadlineAreAnsweredAndNotJustDisconnected) {
  const auto dispatched = run("once");
  const auto streaming = run("stream");
  last().head(200);
  last().bytes("id: 1\ndata: a\n\n");
  flow.answerAll();
  ASSERT_TRUE(dispatched->response.has_value());
  EXPECT_EQ(dispatched->response->status, 502);
  EXPECT_TRUE(streaming->aborted);
  EXPECT_TRUE(port.sent.front().call->cancelled);
  EXPECT_EQ(flow.active(), 0U);
}

TEST_F(ForwardFlowTest, DisconnectedCallerCancelsTheCallToTheWorker) {
  const auto writer = run("stream");
  last().head(200);
  writer->disconnected();
  world.runFor(std::chrono::milliseconds(1));
  EXPECT_TRUE(last().call->cancelled);
  EXPECT_EQ(flow.active(), 0U);
}

TEST_F(ForwardFlowTest, SlowCallerPausesItsWorker) {
  const auto writer = run("stream");
  writer->slow = true;
  last().head(200);
  int resumed = 0;
  for (int index = 1; index <= 40; ++index) {
    last().observer->onBytes("id: " + std::to_string(index) + "\ndata: a\n\n",
                             [&resumed] { ++resumed; });
  }
  EXPECT_LT(resumed, 17);
  writer->pending_writes.front()(true);
  world.runFor(std::chrono::milliseconds(1));
  EXPECT_EQ(flow.active(), 1U);
}

TEST_F(ForwardFlowTest, TenantBeyondItsQuotaIsRejectedWithRetryAfter) {
  fleet_view.view.forwarding.tenants["t"].rate_per_s = 1;
  int rejected = 0;
  for (int request = 0; request < 20; ++request) {
    const auto writer = run("once");
    if (writer->response) {
      EXPECT_EQ(writer->response->status, 429);
      EXPECT_THAT(std::string(writer->response->header("Retry-After")), HasSubstr("."));
      ++rejected;
    }
  }
  EXPECT_GE(rejected, 12);
}

TEST_F(ForwardFlowTest, EvacuatedAndDrainingWorkersAreNotUsed) {
  fleet_view.view.evacuated_zones.insert("zone-w1");
  fleet_view.snapshot.workers["w2"].draining = true;
  for (int request = 0; request < 20; ++request) {
    run("once");
    EXPECT_EQ(last().header("Expect-Instance"), "w3");
  }
  fleet_view.snapshot.workers["w3"].unreachable = true;
  EXPECT_EQ(run("once")->response->status, 503);
}

TEST_F(ForwardFlowTest, WorkerInSlowStartGetsNoMoreRequestsThanItsLimit) {
  configuration::ForwardPool& pool = fleet_view.view.forwarding.pools["shop"];
  pool.slow_start_ms = 3'000;
  pool.slow_start_per_s = 2;
  for (const char* name : {"w1", "w2", "w3"}) {
    fleet_view.snapshot.workers[name].entry.warming_up = true;
  }
  for (int request = 0; request < 20; ++request) {
    run("once");
  }
  EXPECT_EQ(port.sent.size(), 3U);
}

}  // namespace
}  // namespace switchsaddle::front
