#include "switchsaddle/hollow/hollow_front.h"

#include <gtest/gtest.h>

#include "hollow_fleet.h"

namespace switchsaddle::hollow {
namespace {

using std::chrono::seconds;

constexpr std::size_t Fronts = 40;

class HollowFrontTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(HollowFrontTest, AllHaveEachAcknowledgedChangeInForce) {
  HollowFleet hollow(GetParam(), Fronts);
  ASSERT_TRUE(hollow.runUntilAllServe(0, seconds(12)));
  std::uint64_t acknowledged = 0;
  std::uint64_t behind = 0;
  scenarios::OperatorStandIn& op = *hollow.fleet.operators.front();
  op.setAcknowledgedListener([&](const scenarios::OperatorChange& change) {
    ++acknowledged;
    for (const auto& front : hollow.fronts) {
      const bool old = front->node().replica().version() < change.version;
      behind += front->serving() && old ? 1 : 0;
    }
  });
  op.start();
  ASSERT_TRUE(hollow.fleet.world.runUntil([&] { return acknowledged >= 10; }, seconds(60)));
  EXPECT_EQ(behind, 0U);
  ASSERT_TRUE(hollow.runUntilAllServe(op.newestVersion(), seconds(5)));
  const VersionTimes& first = hollow.tally.versions().at(1);
  EXPECT_EQ(first.fronts, Fronts);
}

TEST_P(HollowFrontTest, CoresHaveACommittedChangeWithoutReadingTheRegister) {
  HollowFleet hollow(GetParam(), 5);
  ASSERT_TRUE(hollow.runUntilAllServe(0, seconds(12)));
  scenarios::OperatorStandIn& op = *hollow.fleet.operators.front();
  op.start();
  ASSERT_TRUE(hollow.fleet.world.runUntil([&] { return op.newestVersion() >= 3; }, seconds(60)));
  op.finish();
  ASSERT_TRUE(hollow.fleet.world.runUntil([&] { return op.idle(); }, seconds(20)));
  // Less than the pause after which a core that was told nothing reads.
  hollow.fleet.world.runFor(std::chrono::milliseconds(50));
  for (const auto& core : hollow.fleet.cores) {
    EXPECT_GE(core->node().replica().version(), op.newestVersion());
  }
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, HollowFrontTest, testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace switchsaddle::hollow
