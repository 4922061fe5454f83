#include "attempt/request_deadline.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;

class RequestDeadlineTest : public testing::Test {
 protected:
  simulation::World world{1};
  simulation::Process process{world};
  int passed = 0;
  RequestDeadline deadline{process, [this] { ++passed; }};
};

TEST_F(RequestDeadlineTest, RunsItsCallbackOnceWhenItPasses) {
  deadline.start(milliseconds(100));
  EXPECT_EQ(deadline.remaining(), milliseconds(100));
  world.runFor(milliseconds(60));
  EXPECT_EQ(deadline.remaining(), milliseconds(40));
  EXPECT_EQ(passed, 0);
  world.runFor(milliseconds(500));
  EXPECT_EQ(passed, 1);
  EXPECT_EQ(deadline.remaining(), base::Duration::zero());
}

TEST_F(RequestDeadlineTest, StoppedDeadlineDoesNotRunItsCallback) {
  deadline.start(milliseconds(100));
  deadline.stop();
  world.runFor(milliseconds(500));
  EXPECT_EQ(passed, 0);
}

TEST_F(RequestDeadlineTest, SecondStartReplacesTheDeadline) {
  deadline.start(milliseconds(100));
  world.runFor(milliseconds(50));
  deadline.start(milliseconds(100));
  world.runFor(milliseconds(90));
  EXPECT_EQ(passed, 0);
  world.runFor(milliseconds(20));
  EXPECT_EQ(passed, 1);
}

}  // namespace
}  // namespace switchsaddle::front
