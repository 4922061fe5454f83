#include "switchsaddle/metrics/strand_watch.h"

#include <gtest/gtest.h>

#include <numeric>

#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::metrics {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StrandWatchTest : public testing::Test {
 protected:
  StrandWatchTest() { watch_.start(); }

  simulation::World world_{1};
  simulation::Process process_{world_};
  simulation::CollectingIncidents incidents_;
  StrandWatch watch_{process_, incidents_};
};

TEST_F(StrandWatchTest, ReportsNothingWhileTimersFireOnTime) {
  world_.runFor(seconds(10));
  EXPECT_TRUE(incidents_.all.empty());
  const auto& counts = watch_.lateness().counts();
  EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}), 40U);
}

TEST_F(StrandWatchTest, ReportsTheDelayInMilliseconds) {
  process_.freeze();
  world_.runFor(seconds(1));
  process_.wake();
  world_.runFor(seconds(1));
  ASSERT_EQ(incidents_.all.size(), 1U);
  EXPECT_EQ(incidents_.all[0].event, "strand-late");
  EXPECT_EQ(incidents_.all[0].fields[0].value, "750");
}

TEST_F(StrandWatchTest, InputMayHaveWaitedForTheDelayUntilItIsWorkedOff) {
  world_.runFor(seconds(1));
  EXPECT_EQ(watch_.recentDelay(), base::Duration::zero());
  process_.freeze();
  world_.runFor(seconds(4));
  // Before the overdue poll runs.
  EXPECT_GE(watch_.recentDelay(), milliseconds(3'750));
  process_.wake();
  for (const auto pause : {milliseconds(1), milliseconds(500)}) {
    world_.runFor(pause);
    EXPECT_GE(watch_.recentDelay(), milliseconds(3'750));
  }
  world_.runFor(seconds(1));
  EXPECT_EQ(watch_.recentDelay(), base::Duration::zero());
}

}  // namespace
}  // namespace switchsaddle::metrics
