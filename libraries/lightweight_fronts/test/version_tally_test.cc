#include "switchsaddle/lightweight_fronts/version_tally.h"

#include <gtest/gtest.h>

namespace switchsaddle::lightweight_fronts {
namespace {

base::TimePoint at(int milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

TEST(VersionTallyTest, RecordsTheFirstAndTheLastApplication) {
  VersionTally tally;
  tally.applied(0, 1, at(5));
  tally.applied(0, 1, at(9));
  const VersionTimes& times = tally.versions().at(1);
  EXPECT_EQ(times.first, at(5));
  EXPECT_EQ(times.last, at(9));
  EXPECT_EQ(times.fronts, 2U);
}

TEST(VersionTallyTest, AFrontThatSkipsVersionsCountsForEach) {
  VersionTally tally;
  tally.applied(0, 1, at(1));
  tally.applied(1, 4, at(2));
  EXPECT_EQ(tally.versions().size(), 4U);
  EXPECT_EQ(tally.versions().at(3).fronts, 1U);
  EXPECT_EQ(tally.applications(), 2U);
}

}  // namespace
}  // namespace switchsaddle::lightweight_fronts
