#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "one_shot/one_shot_fixture.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;
using wire::ClaimState;

TEST_F(OneShotFlowTest, RunsOnceAndReplaysTheAnswerToAResentRequest) {
  const auto first = run();
  ASSERT_EQ(workers.sent.size(), 1U);
  EXPECT_TRUE(workers.sent[0].request.fresh_connection);
  EXPECT_EQ(workers.sent[0].request.idempotency_key, Key);
  EXPECT_EQ(claims.state(Key), ClaimState::InFlight);
  workers.sent[0].head();
  workers.sent[0].bytes("{\"n\":");
  workers.sent[0].bytes("1}");
  workers.sent[0].observer->onComplete();
  ASSERT_TRUE(first->has_value());
  EXPECT_EQ((*first)->outcome, Outcome::Ran);
  EXPECT_EQ((*first)->answer, "{\"n\":1}");
  EXPECT_FALSE((*first)->replayed);
  const auto resent = run();
  ASSERT_TRUE(resent->has_value());
  EXPECT_TRUE((*resent)->replayed);
  EXPECT_EQ((*resent)->answer, "{\"n\":1}");
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_EQ(*slots.in_use, 0);
  EXPECT_EQ(flow->active(), 0U);
}

TEST_F(OneShotFlowTest, KeyRemovedWhileTheRequestIsQueuedIsNotRun) {
  slots.unresponsive = true;
  fleet_view.view.keys["hash"] = configuration::Key{"k", "hash", "editors"};
  const auto result = run(7, "hash");
  fleet_view.view.keys.clear();
  slots.serveWaiting();
  EXPECT_TRUE(workers.sent.empty());
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ((*result)->code, ResultCode::UnknownKey);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

/** Ends a request that was sent, without a complete response that matches it. */
using Ending = std::function<void(const FakeWorkers::Sent&)>;
class AmbiguousEnd : public OneShotFlowTest, public testing::WithParamInterface<int> {};

const std::vector<Ending> Endings{
    [](const auto& sent) { sent.observer->onFailure(WorkerFailure::Lost, false); },
    [](const auto& sent) {
      sent.head();
      sent.bytes("{");
      sent.observer->onFailure(WorkerFailure::Lost, false);
    },
    [](const auto& sent) {
      WorkerHead mismatched;
      mismatched.status = 200;
      mismatched.request_id = "another";
      sent.observer->onHead(mismatched);
    },
    [](const auto& sent) { sent.head(503); },
    [](const auto& sent) { sent.refuse(true, "another"); },
    [](const auto& sent) { sent.observer->onComplete(); },
    [](const auto& sent) { sent.bytes(std::string((1U << 20U) + 1, 'x')); },
};

TEST_P(AmbiguousEnd, IsPermanentlyUnknown) {
  fillBudget();
  const auto result = run();
  Endings[GetParam()](workers.sent[0]);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::Unknown);
  EXPECT_EQ((*result)->code, ResultCode::OutcomeUnknown);
  EXPECT_EQ(claims.state(Key), ClaimState::Unknown);
  // The matching response arrives after the end.
  workers.sent[0].head();
  workers.sent[0].bytes("{}");
  workers.sent[0].observer->onComplete();
  const auto resent = run();
  EXPECT_EQ((*resent)->outcome, Outcome::Unknown);
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_TRUE(workers.sent[0].call->cancelled);
}

INSTANTIATE_TEST_SUITE_P(Endings, AmbiguousEnd,
                         testing::Range(0, static_cast<int>(Endings.size())));

TEST_F(OneShotFlowTest, RequestWithoutAResponseByTheDeadlineIsPermanentlyUnknown) {
  const auto result = run();
  passDeadline();
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::Unknown);
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  workers.sent[0].head();
  workers.sent[0].observer->onComplete();
  EXPECT_EQ(claims.state(Key), ClaimState::Unknown);
}

TEST_F(OneShotFlowTest, DuplicateResponseIsAcceptedOnce) {
  const auto result = run();
  for (int copy = 0; copy < 2; ++copy) {
    workers.sent[0].head();
    workers.sent[0].bytes("1");
    workers.sent[0].observer->onComplete();
  }
  EXPECT_EQ((*result)->answer, "1");
  EXPECT_EQ(claims.records[Key].answer, "1");
}

TEST_F(OneShotFlowTest, WorkerThatRefusesConnectionsIsReplacedUnderANewClaim) {
  fillBudget();
  const auto result = run();
  const std::string first_run = claims.records[Key].run;
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  ASSERT_EQ(workers.sent.size(), 2U);
  EXPECT_NE(workers.sent[1].request.address, workers.sent[0].request.address);
  EXPECT_NE(claims.records[Key].run, first_run);
  EXPECT_EQ(workers.sent[1].request.request_id, claims.records[Key].run);
  EXPECT_EQ(fleet_view.refused.size(), 1U);
  workers.sent[1].observer->onFailure(WorkerFailure::NotSent, true);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
  EXPECT_EQ(*slots.in_use, 0);
}

TEST_F(OneShotFlowTest, WorkerThatRejectsBeforeRunningIsReplacedUnderANewClaim) {
  fillBudget();
  const auto result = run();
  const std::string first_run = claims.records[Key].run;
  workers.sent[0].refuse(true, workers.sent[0].request.request_id);
  ASSERT_EQ(workers.sent.size(), 2U);
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  EXPECT_NE(workers.sent[1].request.address, workers.sent[0].request.address);
  EXPECT_NE(claims.records[Key].run, first_run);
  EXPECT_TRUE(fleet_view.refused.empty());
  workers.sent[1].refuse(true, workers.sent[1].request.request_id);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, RejectionBeforeRunningIsAnsweredOnlyOnceRecorded) {
  fillBudget();
  const auto result = run();
  claims.finishes_available = false;
  workers.sent[0].refuse(true, workers.sent[0].request.request_id);
  EXPECT_EQ((*result)->outcome, Outcome::Unknown);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(OneShotFlowTest, RequestsNeverSentAddNothingToTheRetryBudget) {
  session.now = sessions::SessionState::Expired;
  for (int count = 0; count < 20; ++count) {
    run();
  }
  EXPECT_FALSE(retries.tryAcquire("orders", 0.1));
}

TEST_F(OneShotFlowTest, RetryIsChargedWhenItIsSent) {
  fillBudget();
  world.runFor(std::chrono::seconds(8));
  const auto result = run();
  claims.withheld = true;
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  claims.answerNext();
  // While the key is claimed again, the first attempts that allowed the retry leave the window.
  world.runFor(std::chrono::seconds(3));
  claims.release();
  EXPECT_EQ(workers.sent.size(), 1U);
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ((*result)->code, ResultCode::RetryBudgetSpent);
}

TEST_F(OneShotFlowTest, KeyRevokedBeforeTheDispatchIsRecordedNotRun) {
  slots.unresponsive = true;
  const auto result = run();
  fleet_view.view.keys.clear();
  slots.grantWaiting();
  EXPECT_TRUE(workers.sent.empty());
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ((*result)->code, ResultCode::UnknownKey);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, DestroyedFlowStartsNoQueuedRequests) {
  run();
  slots.unresponsive = true;
  slots.passes_on = true;
  for (int count = 0; count < 5; ++count) {
    OneShotRequest request;
    request.key_hash = FakeFleetView::KeyHash;
    request.tenant = "editors";
    request.service = "orders";
    request.idempotency_key = "waiting" + std::to_string(count);
    flow->run(request, [](const OneShotAnswer&) { ADD_FAILURE() << "answered"; });
  }
  flow.reset();
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_TRUE(workers.sent[0].call->cancelled);
  EXPECT_EQ(*slots.in_use, 0);
}

TEST_F(OneShotFlowTest, RefusedConnectionIsNotRetriedWithoutRetryBudget) {
  const auto result = run();
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ((*result)->code, ResultCode::RetryBudgetSpent);
}

TEST_F(OneShotFlowTest, NotRunIsAnsweredOnlyOnceRecorded) {
  fillBudget();
  const auto result = run();
  claims.finishes_available = false;
  workers.sent[0].observer->onFailure(WorkerFailure::NotSent, true);
  EXPECT_EQ((*result)->outcome, Outcome::Unknown);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(OneShotFlowTest, SessionExpiredAfterTheClaimIsRecordedNotRun) {
  claims.before_begin_answer = [this] { session.now = sessions::SessionState::Expired; };
  const auto result = run();
  EXPECT_TRUE(workers.sent.empty());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ((*result)->code, ResultCode::NotServing);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, SendsNothingAndAnswersUnknownIfClaimsAreUnavailable) {
  claims.begins_available = false;
  const auto result = run();
  EXPECT_TRUE(workers.sent.empty());
  EXPECT_EQ((*result)->code, ResultCode::ClaimsUnavailable);
  EXPECT_EQ((*result)->outcome, Outcome::Unknown);
  // The core recorded the claim all the same; it has been withdrawn.
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, ClaimWonAfterTheDeadlineIsWithdrawn) {
  claims.withheld = true;
  const auto result = run();
  passDeadline();
  ASSERT_TRUE(result->has_value());
  claims.release();
  EXPECT_TRUE(workers.sent.empty());
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

}  // namespace
}  // namespace switchsaddle::front
