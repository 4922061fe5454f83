#include "switchsaddle/core/quotas/quota_pacer.h"

#include <gtest/gtest.h>

namespace switchsaddle::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double UnitsPerS = 100;

class QuotaPacerTest : public testing::Test {
 protected:
  QuotaPacerTest() { pacer_.advance(UnitsPerS, start_); }

  const base::TimePoint start_ = base::TimePoint{} + seconds(100);
  QuotaPacer pacer_;
};

TEST_F(QuotaPacerTest, BucketCapacityIsTheInflowOfHalfASecond) {
  EXPECT_DOUBLE_EQ(pacer_.available(), 50);
  pacer_.noteGrant(0, 50);
  EXPECT_DOUBLE_EQ(pacer_.available(), 0);
  pacer_.advance(UnitsPerS, start_ + milliseconds(100));
  EXPECT_NEAR(pacer_.available(), 10, 1e-9);
  pacer_.advance(UnitsPerS, start_ + seconds(10));
  EXPECT_DOUBLE_EQ(pacer_.available(), 50);
}

TEST_F(QuotaPacerTest, ALargeGrantOverdrawsTheBucket) {
  pacer_.noteGrant(0, 80);
  EXPECT_DOUBLE_EQ(pacer_.available(), -30);
}

TEST_F(QuotaPacerTest, ReservesForMoreUrgentRequestsOnly) {
  pacer_.noteRequest(0, 100);
  pacer_.noteGrant(0, 100);
  EXPECT_EQ(pacer_.reserveFor(0, UnitsPerS), 0);
  EXPECT_GT(pacer_.reserveFor(1, UnitsPerS), 0);
}

TEST_F(QuotaPacerTest, ReservesNothingAgainstAStarvedUrgency) {
  pacer_.noteRequest(0, 100);
  pacer_.noteGrant(0, 100);
  pacer_.noteRequest(1, 100);
  EXPECT_EQ(pacer_.reserveFor(1, UnitsPerS), 0);
}

}  // namespace
}  // namespace switchsaddle::core
