#include "switchsaddle/testbed/workers/worker_speed.h"

#include <gtest/gtest.h>

namespace switchsaddle::testbed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(WorkerSpeedTest, PrefillIsSlowerWhileWarmingUp) {
  WorkerSpeed speed;
  speed.prefill_tokens_per_s = 1'000;
  speed.warm_up_period = seconds(5);
  speed.warm_up_factor = 4;
  EXPECT_EQ(speed.prefillTime(500, seconds(4)), seconds(2));
  EXPECT_EQ(speed.prefillTime(500, seconds(5)), milliseconds(500));
  EXPECT_EQ(speed.prefillTime(0, seconds(0)), seconds(0));
}

TEST(WorkerSpeedTest, DecodingSlowsWithLoad) {
  WorkerSpeed speed;
  speed.decode_tokens_per_s = 100;
  speed.slowdown_per_running = 0.5;
  EXPECT_EQ(speed.tokenTime(1), milliseconds(10));
  EXPECT_EQ(speed.tokenTime(3), milliseconds(20));
}

}  // namespace
}  // namespace switchsaddle::testbed
