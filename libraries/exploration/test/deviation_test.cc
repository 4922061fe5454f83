#include "switchsaddle/exploration/deviation.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"

namespace switchsaddle::exploration {
namespace {

TEST(DeviationTest, SchedulesAreReadBackFromTheirText) {
  Schedule schedule;
  for (const DeviationKind kind : allDeviationKinds()) {
    schedule.push_back({schedule.size() * 7, kind});
  }
  EXPECT_EQ(parseSchedule(scheduleText(schedule)), schedule);
  EXPECT_EQ(parseSchedule("12:kill-sender,40:lose-message"),
            (Schedule{{12, DeviationKind::KillSender}, {40, DeviationKind::LoseMessage}}));
  EXPECT_TRUE(parseSchedule("").empty());
}

TEST(DeviationTest, MalformedSchedulesAreRefused) {
  for (const char* text : {"12", "kill-sender", "x:kill-sender", "12:explode", "-1:lose-message",
                           "12:lose-message,12:kill-sender", "12:lose-message,3:kill-sender"}) {
    EXPECT_THROW(parseSchedule(text), base::Error) << text;
  }
}

}  // namespace
}  // namespace switchsaddle::exploration
