#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Three members of the acceptor set and two spare cores; one loss is tolerated at a time. */
class StalledSetChangeTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  static FleetSize threeMembers() {
    FleetSize size;
    size.cores = 3;
    size.tolerated_core_losses = 1;
    return size;
  }

  StalledSetChangeTest() : fleet_(GetParam(), threeMembers()) {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    fleet_.addCore();
    fleet_.addCore();
    EXPECT_TRUE(fleet_.commitChange(firstChange(), seconds(10)));
    fleet_.world.runFor(seconds(5));
  }

  static bool isJoint(SimulatedCore& core) {
    return !core.node().acceptor().acceptorSet().previous.empty();
  }
  bool anyJoint() const {
    return std::ranges::any_of(fleet_.cores,
                               [](const auto& core) { return core->running() && isJoint(*core); });
  }
  /** Freezes a member until its replacement is in progress, and wipes the disk of the core that
   * leads the replacement. Afterwards all cores run. @return the third member. */
  SimulatedCore* loseTheLeaderOfAReplacement() {
    SimulatedCore* leader = fleet_.holderOf(core::CoreMembershipLease);
    const auto others = [leader](const auto& core) { return core.get() != leader; };
    const auto frozen = std::ranges::find_if(fleet_.cores, others);
    const auto third = std::find_if(std::next(frozen), fleet_.cores.end(), others);
    (*frozen)->process().freeze();
    EXPECT_TRUE(fleet_.world.runUntil([&] { return isJoint(*leader); }, seconds(30)));
    fleet_.world.runFor(milliseconds(fleet_.world.random().below(60)));
    leader->kill(CrashKind::Wipe);
    fleet_.world.runFor(seconds(1));
    leader->start();
    (*frozen)->process().wake();
    return third->get();
  }

  Fleet fleet_;
};

// Guards against a joint acceptor set that stays forever, since only a lease's holder ended it.
TEST_P(StalledSetChangeTest, AChangeWhoseLeaderLostItsDiskEndsAndTheNextLossIsTolerated) {
  SimulatedCore* third = loseTheLeaderOfAReplacement();
  EXPECT_TRUE(fleet_.world.runUntil(
      [&] { return !anyJoint() && fleet_.holderOf(core::CoreMembershipLease) != nullptr; },
      seconds(12)));
  fleet_.world.runFor(seconds(12));
  EXPECT_FALSE(anyJoint());
  third->kill(CrashKind::Wipe);
  fleet_.world.runFor(seconds(1));
  third->start();
  EXPECT_TRUE(fleet_.runUntilAllServe(1, seconds(12)));
  EXPECT_TRUE(fleet_.commitChange(
      R"({"change_id":"after","base_version":1,"set":{"evacuations/z":{}}})", seconds(12)));
}

INSTANTIATE_TEST_SUITE_P(Seeds, StalledSetChangeTest, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace switchsaddle::scenarios
