#include <gtest/gtest.h>

#include <chrono>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::seconds;

FleetSize threeCores(std::uint32_t tolerated_losses) {
  FleetSize size;
  size.cores = 3;
  size.tolerated_core_losses = tolerated_losses;
  return size;
}

class CoreGrowthTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(CoreGrowthTest, AcceptorSetGrowsUntilItToleratesTwoLosses) {
  Fleet fleet(GetParam(), threeCores(2));
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  SimulatedCore& fourth = fleet.addCore();
  SimulatedCore& fifth = fleet.addCore();
  ASSERT_TRUE(fleet.world.runUntil([&] { return fleet.admitted(fourth) && fleet.admitted(fifth); },
                                   seconds(20)));
  fleet.cores[0]->kill(CrashKind::Wipe);
  fleet.cores[1]->kill(CrashKind::Wipe);
  EXPECT_TRUE(fleet.runUntilAllServe(1, seconds(12)));
}

TEST_P(CoreGrowthTest, KeepsAcknowledgedChangesIfTwoDisksAreLostAndAllOthersLosePower) {
  Fleet fleet(GetParam(), threeCores(2));
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  SimulatedCore& fourth = fleet.addCore();
  SimulatedCore& fifth = fleet.addCore();
  ASSERT_TRUE(fleet.world.runUntil([&] { return fleet.admitted(fourth) && fleet.admitted(fifth); },
                                   seconds(20)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  const std::size_t first_lost = fleet.world.random().below(fleet.cores.size());
  const std::size_t second_lost = (first_lost + 1) % fleet.cores.size();
  for (std::size_t index = 0; index < fleet.cores.size(); ++index) {
    const bool disk_lost = index == first_lost || index == second_lost;
    fleet.cores[index]->kill(disk_lost ? CrashKind::Wipe : CrashKind::PowerLoss);
  }
  for (const auto& core : fleet.cores) {
    core->start();
  }
  EXPECT_TRUE(fleet.runUntilAllServe(1, seconds(12)));
  EXPECT_TRUE(
      fleet.world.runUntil([&] { return fleet.admitted(*fleet.cores[first_lost]); }, seconds(20)));
}

TEST_P(CoreGrowthTest, ReplacesMembersUntilTheSetToleratesTheLossOfAZone) {
  FleetSize size = threeCores(1);
  size.tolerated_zone_losses = 1;
  Fleet fleet(GetParam(), size);
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  SimulatedCore& second_zone = fleet.addCore("second");
  SimulatedCore& third_zone = fleet.addCore("third");
  ASSERT_TRUE(fleet.world.runUntil(
      [&] { return fleet.admitted(second_zone) && fleet.admitted(third_zone); }, seconds(30)));
  for (std::size_t index = 0; index < size.cores; ++index) {
    fleet.cores[index]->kill(CrashKind::PowerLoss);
  }
  EXPECT_TRUE(fleet.runUntilAllServe(1, seconds(12)));
}

TEST_P(CoreGrowthTest, DoesNotAddACoreBeyondTheToleratedLosses) {
  Fleet fleet(GetParam(), threeCores(1));
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  SimulatedCore& fourth = fleet.addCore();
  fleet.world.runFor(seconds(10));
  EXPECT_FALSE(fleet.admitted(fourth));
}

TEST_P(CoreGrowthTest, CoresListWorkersEarlyAfterARestartOnlyIfTheSettingIsOn) {
  for (const bool early : {false, true}) {
    FleetSize size;
    size.list_before_lease = early;
    size.fronts = 0;
    Fleet fleet(GetParam(), size);
    fleet.addModelWorker();
    fleet.world.runFor(seconds(10));
    for (const auto& core : fleet.cores) {
      core->kill(CrashKind::Kill);
    }
    for (const auto& core : fleet.cores) {
      core->start();
    }
    const auto lists_workers = [&fleet] {
      return !fleet.cores.front()->node().workers().snapshot()->workers.empty();
    };
    EXPECT_EQ(fleet.world.runUntil(lists_workers, std::chrono::milliseconds(500)), early);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CoreGrowthTest, testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace switchsaddle::scenarios
