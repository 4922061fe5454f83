#include "switchsaddle/testbed/workers/slot_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace switchsaddle::testbed {
namespace {

class SlotQueueTest : public testing::Test {
 protected:
  SlotQueue::Ticket acquire(int name) {
    return slots_.acquire([this, name] { started_.push_back(name); });
  }
  SlotQueue slots_{1, 2};
  std::vector<int> started_;
};

TEST_F(SlotQueueTest, StartsInOrderAndRefusesBeyondTheBound) {
  EXPECT_NE(acquire(1), SlotQueue::Refused);
  EXPECT_NE(acquire(2), SlotQueue::Refused);
  EXPECT_NE(acquire(3), SlotQueue::Refused);
  EXPECT_EQ(acquire(4), SlotQueue::Refused);
  EXPECT_EQ(started_, (std::vector<int>{1}));
  slots_.release();
  slots_.release();
  EXPECT_EQ(started_, (std::vector<int>{1, 2, 3}));
  slots_.release();
  EXPECT_EQ(slots_.running(), 0U);
}

TEST_F(SlotQueueTest, ACancelledWaiterNeverStarts) {
  acquire(1);
  const SlotQueue::Ticket second = acquire(2);
  acquire(3);
  EXPECT_TRUE(slots_.cancel(second));
  EXPECT_FALSE(slots_.cancel(second));
  EXPECT_EQ(slots_.queued(), 1U);
  slots_.release();
  EXPECT_EQ(started_, (std::vector<int>{1, 3}));
}

}  // namespace
}  // namespace switchsaddle::testbed
