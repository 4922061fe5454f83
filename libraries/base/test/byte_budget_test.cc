#include "switchsaddle/base/byte_budget.h"

#include <gtest/gtest.h>

namespace switchsaddle::base {
namespace {

constexpr std::size_t Small = ByteBudget::SmallHolderBytes;

TEST(ByteBudgetTest, LargeHoldersLeaveRoomForSmallOnes) {
  const auto budget = std::make_shared<ByteBudget>(8 * Small);
  ByteReservation large(budget);
  EXPECT_TRUE(large.tryGrow(6 * Small));
  EXPECT_FALSE(large.tryGrow(1));
  ByteReservation small(budget);
  EXPECT_TRUE(small.tryGrow(Small));
  // It would no longer be small.
  EXPECT_FALSE(small.tryGrow(1));
  ByteReservation last(budget);
  EXPECT_TRUE(last.tryGrow(Small));
  ByteReservation none(budget);
  EXPECT_FALSE(none.tryGrow(1));
  EXPECT_EQ(budget->used(), 8 * Small);
}

TEST(ByteBudgetTest, GivesBytesBackAtTheEnd) {
  const auto budget = std::make_shared<ByteBudget>(1'000);
  {
    ByteReservation reservation(budget);
    EXPECT_TRUE(reservation.tryGrow(700));
    EXPECT_EQ(budget->used(), 700U);
  }
  EXPECT_EQ(budget->used(), 0U);
}

TEST(ByteBudgetTest, HoldsWhatItIsSetToIfThereIsRoom) {
  const auto budget = std::make_shared<ByteBudget>(1'000);
  ByteReservation reservation(budget);
  EXPECT_TRUE(reservation.tryTo(700));
  EXPECT_FALSE(reservation.tryTo(1'001));
  EXPECT_EQ(budget->used(), 700U);
  EXPECT_TRUE(reservation.tryTo(100));
  EXPECT_EQ(budget->used(), 100U);
  EXPECT_EQ(reservation.held(), 100U);
}

TEST(ByteBudgetTest, CanBeForcedBeyondTheLimit) {
  const auto budget = std::make_shared<ByteBudget>(1'000);
  ByteReservation reservation(budget);
  reservation.forceTo(5'000);
  EXPECT_TRUE(budget->isExceeded());
  ByteReservation other(budget);
  EXPECT_FALSE(other.tryGrow(1));
  reservation.forceTo(10);
  EXPECT_EQ(budget->used(), 10U);
  EXPECT_TRUE(other.tryGrow(990));
}

}  // namespace
}  // namespace switchsaddle::base
