#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "one_shot/one_shot_fixture.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;
using wire::ClaimState;

TEST_F(OneShotFlowTest, RetryOfAKilledFrontsKeyIsUnknown) {
  const auto lost = run();
  flow = std::make_unique<OneShotFlow>(OneShotEnvironment{process, world.random(), claims, slots,
                                                          session, workers, fleet_view, retries,
                                                          circuit, counters});
  const auto again = run();
  EXPECT_FALSE(again->has_value());
  passDeadline();
  ASSERT_TRUE(again->has_value());
  EXPECT_EQ((*again)->outcome, Outcome::Unknown);
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_FALSE(lost->has_value());
}

TEST_F(OneShotFlowTest, RetryWaitsForTheRecordOfTheRunElsewhere) {
  run();
  const auto again = run();
  world.runFor(std::chrono::seconds(1));
  EXPECT_FALSE(again->has_value());
  workers.sent[0].head();
  workers.sent[0].bytes("1");
  workers.sent[0].observer->onComplete();
  world.runFor(std::chrono::seconds(1));
  ASSERT_TRUE(again->has_value());
  EXPECT_TRUE((*again)->replayed);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(OneShotFlowTest, AnotherRequestUnderTheKeyIsRejected) {
  run(7);
  const auto other = run(8);
  ASSERT_TRUE(other->has_value());
  EXPECT_EQ((*other)->code, ResultCode::KeyReusedForOtherRequest);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(OneShotFlowTest, RejectionsForLackOfSlotsOrWorkersAreRecordedNotRun) {
  slots.code = ResultCode::OverBranchLimit;
  EXPECT_EQ((**run()).code, ResultCode::OverBranchLimit);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
  slots.code = ResultCode::Ok;
  fleet_view.view.evacuated_zones = {"zone-w1"};
  fleet_view.snapshot.workers["w2"].draining = true;
  const auto result = run();
  EXPECT_EQ((*result)->code, ResultCode::NoWorkerAvailable);
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_TRUE(workers.sent.empty());
}

TEST_F(OneShotFlowTest, WithoutASlotEndsNotRunAtTheDeadline) {
  slots.unresponsive = true;
  const auto result = run();
  passDeadline();
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, SpreadsOverTheLeastLoadedWorkersAndReportsDraining) {
  run();
  claims.records.clear();
  run();
  ASSERT_EQ(workers.sent.size(), 2U);
  EXPECT_NE(workers.sent[0].request.address, workers.sent[1].request.address);
  WorkerHead head;
  head.status = 200;
  head.request_id = workers.sent[0].request.request_id;
  head.draining = true;
  workers.sent[0].observer->onHead(head);
  EXPECT_EQ(fleet_view.draining.size(), 1U);
}

TEST_F(OneShotFlowTest, ReleasesTheSlotWhileAnEndIsBeingRecorded) {
  run();
  workers.sent[0].head();
  workers.sent[0].bytes("1");
  claims.withheld = true;
  workers.sent[0].observer->onComplete();
  EXPECT_EQ(*slots.in_use, 0);
  claims.release();
  claims.records.clear();
  session.now = sessions::SessionState::Expired;
  claims.before_begin_answer = [this] { claims.withheld = true; };
  run();
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_EQ(*slots.in_use, 0);
  EXPECT_EQ(claims.pending_replies.size(), 1U);
}

/** One slot, which is granted to the next queued request as soon as it is released. */
class HandedOverSlot : public admission::SlotBroker {
 public:
  void acquire(const std::string& /*branch*/,
               std::function<void(admission::SlotOutcome)> callback) override {
    waiting_.push_back(std::move(callback));
    if (!taken_) {
      answerNext();
    }
  }

 private:
  class Hold : public admission::SlotPermit {
   public:
    explicit Hold(HandedOverSlot& slot) : slot_(slot) {}
    ~Hold() override {
      slot_.taken_ = false;
      slot_.answerNext();
    }

   private:
    HandedOverSlot& slot_;
  };

  void answerNext() {
    if (waiting_.empty()) {
      return;
    }
    const auto next = std::move(waiting_.front());
    waiting_.pop_front();
    taken_ = true;
    next({base::ResultCode::Ok, std::make_unique<Hold>(*this), 0});
  }

  std::deque<std::function<void(admission::SlotOutcome)>> waiting_;
  bool taken_ = false;
};

TEST_F(OneShotFlowTest, DispatchesNothingDuringDestruction) {
  HandedOverSlot slot;
  flow = std::make_unique<OneShotFlow>(OneShotEnvironment{process, world.random(), claims, slot,
                                                          session, workers, fleet_view, retries,
                                                          circuit, counters});
  run();
  claims.records.clear();
  run();
  ASSERT_EQ(workers.sent.size(), 1U);
  flow.reset();
  EXPECT_EQ(workers.sent.size(), 1U);
}

}  // namespace
}  // namespace switchsaddle::front
