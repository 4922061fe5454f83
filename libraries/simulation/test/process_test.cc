#include "switchsaddle/simulation/process.h"

#include <gtest/gtest.h>

#include <vector>

namespace switchsaddle::simulation {
namespace {

using std::chrono::milliseconds;

class ProcessTest : public testing::Test {
 protected:
  /** Posts a callback that records when it ran and uses this much processor time. */
  void postWork(base::Duration work) {
    process_.post([this, work] {
      ran_at_.push_back(world_.now() - begin_);
      process_.spend(work);
    });
  }

  World world_{1};
  Process process_{world_};
  base::TimePoint begin_ = world_.now();
  std::vector<base::Duration> ran_at_;
};

TEST_F(ProcessTest, DueCallbacksWaitForEarlierWork) {
  postWork(milliseconds(10));
  postWork(milliseconds(5));
  postWork(milliseconds(0));
  world_.runFor(milliseconds(100));
  EXPECT_EQ(ran_at_,
            (std::vector<base::Duration>{milliseconds(0), milliseconds(10), milliseconds(15)}));
}

TEST_F(ProcessTest, AFrozenProcessContinuesItsWorkAfterWaking) {
  postWork(milliseconds(10));
  postWork(milliseconds(0));
  world_.runFor(milliseconds(5));
  process_.freeze();
  world_.runFor(milliseconds(50));
  EXPECT_EQ(ran_at_.size(), 1U);
  process_.wake();
  world_.runFor(milliseconds(50));
  EXPECT_EQ(ran_at_.size(), 2U);
}

TEST_F(ProcessTest, AKilledProcessDropsItsWork) {
  postWork(milliseconds(10));
  postWork(milliseconds(0));
  world_.runFor(milliseconds(5));
  process_.kill();
  process_.start();
  world_.runFor(milliseconds(50));
  EXPECT_EQ(ran_at_.size(), 1U);
}

}  // namespace
}  // namespace switchsaddle::simulation
