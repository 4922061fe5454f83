#include "switchsaddle/core/membership/shortfall_monitor.h"

#include <gtest/gtest.h>

namespace switchsaddle::core {
namespace {

using std::chrono::seconds;

class ShortfallMonitorTest : public testing::Test {
 protected:
  std::optional<SpreadShortfall> updateAt(int second, SpreadShortfall shortfall) {
    return monitor_.update(shortfall, base::TimePoint{} + seconds(second));
  }

  ShortfallMonitor monitor_{seconds(15)};
};

TEST_F(ShortfallMonitorTest, ReportsALastingShortfallOnceAndItsEndOnce) {
  EXPECT_FALSE(updateAt(0, SpreadShortfall::Cores));
  EXPECT_FALSE(updateAt(14, SpreadShortfall::Cores));
  EXPECT_EQ(updateAt(15, SpreadShortfall::Cores), SpreadShortfall::Cores);
  EXPECT_FALSE(updateAt(30, SpreadShortfall::Cores));
  EXPECT_EQ(updateAt(31, SpreadShortfall::None), SpreadShortfall::None);
  EXPECT_FALSE(updateAt(32, SpreadShortfall::None));
}

TEST_F(ShortfallMonitorTest, InterruptionRestartsTheDelay) {
  EXPECT_FALSE(updateAt(0, SpreadShortfall::Zones));
  EXPECT_FALSE(updateAt(10, SpreadShortfall::None));
  EXPECT_FALSE(updateAt(11, SpreadShortfall::Zones));
  EXPECT_FALSE(updateAt(25, SpreadShortfall::Zones));
  EXPECT_EQ(updateAt(26, SpreadShortfall::Zones), SpreadShortfall::Zones);
}

TEST_F(ShortfallMonitorTest, ResetClearsTheReportedShortfall) {
  updateAt(0, SpreadShortfall::Cores);
  ASSERT_TRUE(updateAt(15, SpreadShortfall::Cores));
  monitor_.reset();
  EXPECT_FALSE(updateAt(16, SpreadShortfall::None));
}

}  // namespace
}  // namespace switchsaddle::core
