#include "switchsaddle/admission/branch_table.h"

#include <gtest/gtest.h>

namespace switchsaddle::admission {
namespace {

constexpr const char* Branch = "share/chat";
const FrontIdentity Front{{"127.0.0.1", 1}, 7};

class BranchTableTest : public ::testing::Test {
 protected:
  BranchTableTest() { table_.setLimits({{Branch, 4}}); }

  void report(std::uint64_t sequence, std::uint32_t allocated) {
    wire::SlotReport message;
    message.front_instance = Front.instance;
    message.allocations = {{Branch, sequence, allocated, allocated}};
    table_.applyReport(Front, message, {}, now_);
  }

  const base::TimePoint now_ = base::TimePoint{} + std::chrono::seconds(1);
  BranchTable table_{true};
};

TEST_F(BranchTableTest, CountsReservationsAsAllocatedUntilTheFrontReports) {
  table_[Branch].allocations.adoptReservation(Front, 3, now_);
  EXPECT_EQ(table_.freeSlots(Branch), 1U);
  report(1, 2);
  EXPECT_EQ(table_.freeSlots(Branch), 2U);
}

TEST_F(BranchTableTest, IgnoresOvertakenReports) {
  table_[Branch].allocations.adoptReservation(Front, 3, now_);
  report(5, 2);
  report(4, 0);
  EXPECT_EQ(table_.allocatedSlots(Branch), 2U);
}

TEST_F(BranchTableTest, AReportRebasesQueuedRequestsOfItsFront) {
  table_[Branch].allocations.adoptReservation(Front, 1, now_);
  QueuedSlotRequest queued;
  queued.request.front = Front.address;
  queued.request.front_instance = Front.instance;
  table_[Branch].queue.push_back(queued);
  report(9, 2);
  EXPECT_EQ(table_[Branch].queue.front().request.sequence, 9U);
  EXPECT_EQ(table_[Branch].queue.front().request.allocated, 2U);
}

TEST_F(BranchTableTest, IsExhaustedOnlyByRecentReports) {
  table_[Branch].allocations.adoptReservation(Front, 4, now_);
  EXPECT_FALSE(table_.isExhausted(Branch, now_));
  report(1, 4);
  EXPECT_TRUE(table_.isExhausted(Branch, now_));
  EXPECT_FALSE(table_.isExhausted(Branch, now_ + std::chrono::milliseconds(1)));
}

TEST_F(BranchTableTest, ABranchWithoutALimitHasNoFreeSlots) {
  EXPECT_EQ(table_.freeSlots("unknown"), 0U);
  EXPECT_FALSE(table_.isExhausted("unknown", now_));
}

}  // namespace
}  // namespace switchsaddle::admission
