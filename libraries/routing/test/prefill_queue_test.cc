#include "switchsaddle/routing/prefill_queue.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

const base::TimePoint Start{std::chrono::seconds(100)};

TEST(PrefillQueueTest, DrainsOverTime) {
  PrefillQueue queue;
  queue.add(0.4, Start);
  EXPECT_DOUBLE_EQ(queue.remainingSeconds(Start), 0.4);
  EXPECT_NEAR(queue.remainingSeconds(Start + milliseconds(100)), 0.3, 1e-9);
  queue.add(0.2, Start + milliseconds(100));
  EXPECT_NEAR(queue.remainingSeconds(Start + milliseconds(100)), 0.5, 1e-9);
}

TEST(PrefillQueueTest, AShareOfUnansweredPromptsRemainsForAnyElapsedTime) {
  PrefillQueue queue;
  queue.add(0.4, Start);
  EXPECT_NEAR(queue.remainingSeconds(Start + std::chrono::seconds(9)), 0.1, 1e-9);
  queue.remove(0.4, Start + std::chrono::seconds(9));
  EXPECT_DOUBLE_EQ(queue.remainingSeconds(Start + std::chrono::seconds(9)), 0);
}

TEST(PrefillQueueTest, AnAnswerLeavesAtMostTheUnansweredPrompts) {
  PrefillQueue queue;
  queue.add(0.4, Start);
  queue.add(0.1, Start);
  queue.remove(0.4, Start + milliseconds(10));
  EXPECT_NEAR(queue.remainingSeconds(Start + milliseconds(10)), 0.1, 1e-9);
  queue.remove(0.1, Start + milliseconds(20));
  EXPECT_DOUBLE_EQ(queue.remainingSeconds(Start + milliseconds(20)), 0);
}

}  // namespace
}  // namespace switchsaddle::routing
