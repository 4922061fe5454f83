#include <gtest/gtest.h>

#include <vector>

#include "transport_harness.h"

namespace switchsaddle::transport {
namespace {

using std::chrono::milliseconds;

/** Contract of all implementations of Dispatcher. */
template <class Harness>
class DispatcherContract : public testing::Test {
 protected:
  DispatcherContract() { harness.start(1); }

  /** Runs until the delay has passed, which is longer than those of the test's timers. */
  void runPast(base::Duration delay) {
    bool fired = false;
    const base::TimerPtr timer = dispatcher().createTimer([&] { fired = true; });
    timer->enable(delay);
    ASSERT_TRUE(harness.runUntil([&] { return fired; }));
  }
  base::Dispatcher& dispatcher() { return harness.dispatcher(1); }

  Harness harness;
};

using Harnesses = testing::Types<SimulatedHarness, TcpHarness>;
TYPED_TEST_SUITE(DispatcherContract, Harnesses);

TYPED_TEST(DispatcherContract, TimersFireOnceAndNotEarly) {
  int fired = 0;
  base::TimePoint at{};
  const base::TimePoint begin = this->dispatcher().now();
  const auto timer = this->dispatcher().createTimer([&] {
    ++fired;
    at = this->dispatcher().now();
  });
  EXPECT_FALSE(timer->enabled());
  timer->enable(milliseconds(10));
  EXPECT_TRUE(timer->enabled());
  ASSERT_TRUE(this->harness.runUntil([&] { return fired > 0; }));
  EXPECT_FALSE(timer->enabled());
  EXPECT_GE(at - begin, milliseconds(10));
  this->runPast(milliseconds(30));
  EXPECT_EQ(fired, 1);
}

TYPED_TEST(DispatcherContract, DisabledAndDestroyedTimersNeverFire) {
  int fired = 0;
  const auto disabled = this->dispatcher().createTimer([&] { ++fired; });
  auto destroyed = this->dispatcher().createTimer([&] { ++fired; });
  disabled->enable(milliseconds(5));
  destroyed->enable(milliseconds(5));
  disabled->disable();
  destroyed.reset();
  EXPECT_FALSE(disabled->enabled());
  this->runPast(milliseconds(20));
  EXPECT_EQ(fired, 0);
}

TYPED_TEST(DispatcherContract, AnExpiredTimerMayBeDestroyedByAnotherTimer) {
  // Both expire at the same time; whichever runs first destroys the other.
  int fired = 0;
  base::TimerPtr first;
  base::TimerPtr second;
  first = this->dispatcher().createTimer([&] {
    ++fired;
    second.reset();
  });
  second = this->dispatcher().createTimer([&] {
    ++fired;
    first.reset();
  });
  first->enable(milliseconds(0));
  second->enable(milliseconds(0));
  this->runPast(milliseconds(10));
  EXPECT_EQ(fired, 1);
}

TYPED_TEST(DispatcherContract, EnablingAnEnabledTimerRestartsIt) {
  std::vector<int> order;
  const auto restarted = this->dispatcher().createTimer([&] { order.push_back(1); });
  const auto other = this->dispatcher().createTimer([&] { order.push_back(2); });
  restarted->enable(milliseconds(5));
  other->enable(milliseconds(20));
  restarted->enable(milliseconds(40));
  ASSERT_TRUE(this->harness.runUntil([&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{2, 1}));
}

TYPED_TEST(DispatcherContract, ATimerMayEnableOrDestroyItself) {
  int fired = 0;
  base::TimerPtr timer;
  timer = this->dispatcher().createTimer([&] {
    if (++fired < 3) {
      timer->enable(milliseconds(1));
    } else {
      timer.reset();
    }
  });
  timer->enable(milliseconds(1));
  ASSERT_TRUE(this->harness.runUntil([&] { return timer == nullptr; }));
  EXPECT_EQ(fired, 3);
}

TYPED_TEST(DispatcherContract, PostedCallbacksRunInOrderAfterTheCurrentOne) {
  std::vector<int> order;
  this->dispatcher().post([&] {
    this->dispatcher().post([&] { order.push_back(2); });
    this->dispatcher().post([&] { order.push_back(3); });
    order.push_back(1);
  });
  EXPECT_TRUE(order.empty());
  ASSERT_TRUE(this->harness.runUntil([&] { return order.size() == 3; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

}  // namespace
}  // namespace switchsaddle::transport
