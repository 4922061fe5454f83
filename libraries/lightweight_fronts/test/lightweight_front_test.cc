#include "switchsaddle/lightweight_fronts/lightweight_front.h"

#include <gtest/gtest.h>

#include "lightweight_fleet.h"

namespace switchsaddle::lightweight_fronts {
namespace {

using std::chrono::seconds;

constexpr std::size_t Fronts = 40;

class LightweightFrontTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LightweightFrontTest, AllFrontsHaveAppliedEachAcknowledgedChange) {
  LightweightFleet fleet(GetParam(), Fronts);
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  std::uint64_t acknowledged = 0;
  std::uint64_t lagging = 0;
  scenarios::FakeOperator& op = *fleet.fleet.operators.front();
  op.setAcknowledgedListener([&](const scenarios::OperatorChange& change) {
    ++acknowledged;
    for (const auto& front : fleet.fronts) {
      const bool is_older = front->node().replica().version() < change.version;
      lagging += front->serving() && is_older ? 1 : 0;
    }
  });
  op.start();
  ASSERT_TRUE(fleet.fleet.world.runUntil([&] { return acknowledged >= 10; }, seconds(60)));
  EXPECT_EQ(lagging, 0U);
  ASSERT_TRUE(fleet.runUntilAllServe(op.newestVersion(), seconds(5)));
  const VersionTimes& first = fleet.tally.versions().at(1);
  EXPECT_EQ(first.fronts, Fronts);
}

TEST_P(LightweightFrontTest, CoresReceiveACommittedChangeWithoutReadingTheRegister) {
  LightweightFleet fleet(GetParam(), 5);
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  scenarios::FakeOperator& op = *fleet.fleet.operators.front();
  op.start();
  ASSERT_TRUE(fleet.fleet.world.runUntil([&] { return op.newestVersion() >= 3; }, seconds(60)));
  op.finish();
  ASSERT_TRUE(fleet.fleet.world.runUntil([&] { return op.idle(); }, seconds(20)));
  // Shorter than the interval after which a core without notification reads the register.
  fleet.fleet.world.runFor(std::chrono::milliseconds(50));
  for (const auto& core : fleet.fleet.cores) {
    EXPECT_GE(core->node().replica().version(), op.newestVersion());
  }
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, LightweightFrontTest, testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace switchsaddle::lightweight_fronts
