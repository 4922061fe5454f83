// A core whose disk lost values that it had accepted must not vote as the same acceptor.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

/** The zone whose evacuation an operator's change sets or removes. */
std::string zoneOf(const OperatorChange& change) {
  return change.path.substr(std::string("evacuations/").size());
}

using std::chrono::seconds;

/** The data loss at the core that accepted every change. */
enum class Loss : std::uint8_t { Emptied, Flipped, Truncated, RolledBack };

/**
 * Five cores. Changes are accepted by the cores 0, 1 and 2 while 3 and 4 are partitioned. Then core
 * 2 loses its state, and a new partition separates 0 and 1 from 2, 3 and 4. Core 2 is the only one
 * of these three that had accepted the changes.
 */
class ForgottenState {
 public:
  ForgottenState(std::uint64_t seed, Loss loss) : fleet_(seed, FleetSize{}) {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    early_disk_ = coreWithDataLoss().disk();
    cut({0, 1, 2}, {3, 4});
    FakeOperator& one = *fleet_.operators.front();
    one.start();
    EXPECT_TRUE(
        fleet_.world.runUntil([&] { return acknowledgedZones().size() >= 3; }, seconds(60)));
    one.finish();
    EXPECT_TRUE(fleet_.world.runUntil([&] { return one.idle(); }, seconds(20)));
    coreWithDataLoss().kill(CrashKind::Kill);
    lose(loss);
    fleet_.network.healAll();
    cut({0, 1}, {2, 3, 4});
    coreWithDataLoss().start();
    fleet_.world.runFor(seconds(5));
  }

  /** @return the number of acknowledged evacuations missing in a configuration read at a core, or
   * std::nullopt if the core answers no read. */
  std::optional<std::size_t> missingAt(std::size_t core) {
    std::optional<std::string> body;
    fleet_.operators.front()->readConfiguration(
        fleet_.cores[core]->address(),
        [&](std::optional<std::string> answer) { body = std::move(answer); });
    fleet_.world.runFor(seconds(6));
    if (!body) {
      return std::nullopt;
    }
    std::size_t missing = 0;
    for (const std::string& zone : acknowledgedZones()) {
      missing += body->find("\"evacuations/" + zone + "\"") == std::string::npos ? 1 : 0;
    }
    return missing;
  }

  void heal() {
    fleet_.network.healAll();
    fleet_.world.runFor(seconds(10));
  }

 private:
  SimulatedCore& coreWithDataLoss() { return *fleet_.cores[2]; }

  void cut(const std::vector<std::size_t>& some, const std::vector<std::size_t>& others) {
    for (const std::size_t one : some) {
      for (const std::size_t other : others) {
        fleet_.network.cut(fleet_.cores[one]->address(), fleet_.cores[other]->address());
      }
    }
  }

  void lose(Loss loss) {
    simulation::SimulatedDisk& disk = coreWithDataLoss().disk();
    const std::string newest = "records/" + disk.list("records").back();
    switch (loss) {
      case Loss::Emptied:
        disk.wipe();
        break;
      case Loss::Flipped:
        disk.flipByte(newest, disk.read(newest).size() / 2);
        break;
      case Loss::Truncated:
        disk.truncate(newest, disk.read(newest).size() / 2);
        break;
      case Loss::RolledBack:
        disk = *early_disk_;
        break;
    }
  }

  /** Zones whose evacuation was acknowledged and not removed by any later change that was sent. */
  std::vector<std::string> acknowledgedZones() const {
    std::vector<std::string> zones;
    for (const OperatorChange& change : fleet_.operators.front()->changes()) {
      if (!change.removes && change.outcome == ChangeOutcome::Acknowledged) {
        zones.push_back(zoneOf(change));
      } else if (change.removes) {
        std::erase(zones, zoneOf(change));
      }
    }
    return zones;
  }

  Fleet fleet_;
  std::optional<simulation::SimulatedDisk> early_disk_;
};

class ForgottenStateTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ForgottenStateTest, ACoreThatLostItsStateDoesNotCompleteAMajorityOfOutdatedCores) {
  for (const Loss loss : {Loss::Emptied, Loss::Flipped, Loss::Truncated}) {
    SCOPED_TRACE(static_cast<int>(loss));
    ForgottenState forgotten(GetParam(), loss);
    EXPECT_EQ(forgotten.missingAt(3).value_or(0), 0U);
    forgotten.heal();
    EXPECT_EQ(forgotten.missingAt(3), std::optional<std::size_t>(0));
  }
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, ForgottenStateTest, testing::Range<std::uint64_t>(1, 51));

TEST(ForgottenStateRedTest, ACoreThatVotesWithARolledBackDiskRestoresAnOlderConfiguration) {
  std::size_t seeds_with_loss = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ForgottenState forgotten(seed, Loss::RolledBack);
    seeds_with_loss += forgotten.missingAt(3).value_or(0) > 0 ? 1 : 0;
  }
  EXPECT_EQ(seeds_with_loss, 10U);
}

}  // namespace
}  // namespace switchsaddle::scenarios
