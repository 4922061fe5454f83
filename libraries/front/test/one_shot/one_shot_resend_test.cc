#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "one_shot/one_shot_fixture.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;
using wire::ClaimState;

TEST_F(OneShotFlowTest, RequestResentAfterACrashOfTheFrontIsUnknown) {
  const auto original = run();
  flow = std::make_unique<OneShotFlow>(OneShotEnvironment{process, world.random(), claims, slots,
                                                          session, workers, fleet_view, retries,
                                                          circuit, counters});
  const auto resent = run();
  EXPECT_FALSE(resent->has_value());
  passDeadline();
  ASSERT_TRUE(resent->has_value());
  EXPECT_EQ((*resent)->outcome, Outcome::Unknown);
  EXPECT_EQ(workers.sent.size(), 1U);
  EXPECT_FALSE(original->has_value());
}

TEST_F(OneShotFlowTest, ResentRequestWaitsForTheAnswerOfTheRunInFlight) {
  run();
  const auto resent = run();
  world.runFor(std::chrono::seconds(1));
  EXPECT_FALSE(resent->has_value());
  workers.sent[0].head();
  workers.sent[0].bytes("1");
  workers.sent[0].observer->onComplete();
  world.runFor(std::chrono::seconds(1));
  ASSERT_TRUE(resent->has_value());
  EXPECT_TRUE((*resent)->replayed);
  EXPECT_EQ(workers.sent.size(), 1U);
}

TEST_F(OneShotFlowTest, RejectsAnotherRequestWithTheSameKey) {
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

TEST_F(OneShotFlowTest, RequestWithoutASlotIsNotRunAtTheDeadline) {
  slots.unresponsive = true;
  const auto result = run();
  passDeadline();
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->outcome, Outcome::NotRun);
  EXPECT_EQ(claims.state(Key), ClaimState::NotRun);
}

TEST_F(OneShotFlowTest, ChoosesTheLeastLoadedWorkerAndReportsADrainingOne) {
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

TEST_F(OneShotFlowTest, ReleasesTheSlotBeforeTheEndIsRecorded) {
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

/** Has one slot, which the next queued request gets as soon as it is released. */
class SingleSlotBroker : public admission::SlotBroker {
 public:
  void acquire(const std::string& /*branch*/,
               std::function<void(admission::SlotOutcome)> callback) override {
    queued_.push_back(std::move(callback));
    if (!in_use_) {
      answerNext();
    }
  }

 private:
  class Permit : public admission::SlotPermit {
   public:
    explicit Permit(SingleSlotBroker& slot) : slot_(slot) {}
    ~Permit() override {
      slot_.in_use_ = false;
      slot_.answerNext();
    }

   private:
    SingleSlotBroker& slot_;
  };

  void answerNext() {
    if (queued_.empty()) {
      return;
    }
    const auto next = std::move(queued_.front());
    queued_.pop_front();
    in_use_ = true;
    next({base::ResultCode::Ok, std::make_unique<Permit>(*this), 0});
  }

  std::deque<std::function<void(admission::SlotOutcome)>> queued_;
  bool in_use_ = false;
};

TEST_F(OneShotFlowTest, DispatchesNothingDuringDestruction) {
  SingleSlotBroker slot;
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
