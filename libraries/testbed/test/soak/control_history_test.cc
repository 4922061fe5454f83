#include "switchsaddle/testbed/soak/control_history.h"

#include <gtest/gtest.h>

namespace switchsaddle::testbed {
namespace {

using Kind = ControlOperationKind;
using Outcome = ControlOutcome;

class ControlHistoryTest : public testing::Test {
 protected:
  void change(double from_s, double to_s, std::uint64_t base, std::uint64_t version) {
    history.add({Kind::Change, "change", "", from_s, to_s, Outcome::Done, base, version, {}});
  }
  void order(Kind kind, double from_s, double to_s, Outcome outcome, std::uint64_t version) {
    history.add({kind, "order", "hall", from_s, to_s, outcome, 0, version, {}});
  }
  void read(double from_s, double to_s, std::uint64_t version, bool evacuated) {
    const std::set<std::string> zones =
        evacuated ? std::set<std::string>{"hall"} : std::set<std::string>{};
    history.add({Kind::Read, "read", "", from_s, to_s, Outcome::Done, 0, version, zones});
  }
  std::size_t violations() const { return history.violations().size(); }

  ControlHistory history;
};

TEST_F(ControlHistoryTest, AllowsWhatOneConfigurationExplains) {
  change(0, 1, 1, 2);
  order(Kind::BeginEvacuation, 2, 3, Outcome::Done, 3);
  read(4, 5, 3, true);
  order(Kind::EndEvacuation, 4, 6, Outcome::Done, 4);
  read(4.5, 5.5, 4, false);
  read(7, 8, 4, false);
  EXPECT_EQ(violations(), 0U);
}

TEST_F(ControlHistoryTest, FindsAVersionOfTwoChanges) {
  change(0, 1, 1, 2);
  change(0, 1, 1, 2);
  EXPECT_EQ(violations(), 1U);
}

TEST_F(ControlHistoryTest, FindsAChangeThatSkipsItsBase) {
  change(0, 1, 1, 3);
  EXPECT_EQ(violations(), 1U);
}

TEST_F(ControlHistoryTest, FindsAReadThatIsOlderThanAnAcknowledgedChange) {
  change(0, 1, 1, 2);
  read(0.5, 1.5, 1, false);
  EXPECT_EQ(violations(), 0U);
  read(2, 3, 1, false);
  EXPECT_EQ(violations(), 1U);
}

TEST_F(ControlHistoryTest, FindsAnOldOrderThatUndidALaterOne) {
  order(Kind::BeginEvacuation, 0, 1, Outcome::Done, 2);
  order(Kind::EndEvacuation, 2, 4, Outcome::Done, 3);
  order(Kind::BeginEvacuation, 5, 6, Outcome::Done, 4);
  read(7, 8, 5, false);
  EXPECT_EQ(violations(), 1U);
}

TEST_F(ControlHistoryTest, AllowsAnOrderWithoutAnAnswerToTakeEffectWhileItsOperatorWaited) {
  order(Kind::BeginEvacuation, 0, 1, Outcome::Done, 2);
  order(Kind::EndEvacuation, 2, 4, Outcome::Unknown, 0);
  read(5, 6, 2, true);
  read(7, 8, 3, false);
  EXPECT_EQ(violations(), 0U);
  order(Kind::BeginEvacuation, 9, 10, Outcome::Done, 4);
  read(11, 12, 5, false);
  EXPECT_EQ(violations(), 1U);
}

TEST_F(ControlHistoryTest, ARefusedOrderExplainsNothing) {
  order(Kind::BeginEvacuation, 0, 1, Outcome::Refused, 0);
  read(2, 3, 1, true);
  EXPECT_EQ(violations(), 1U);
}

}  // namespace
}  // namespace switchsaddle::testbed
