// A core whose disk lost what it had acknowledged: it must not vote as the one it was.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

/** The zone that an operator's change evacuates, or no longer. */
std::string zoneOf(const OperatorChange& change) {
  return change.path.substr(std::string("evacuations/").size());
}

using std::chrono::seconds;

/** What happened to the disk of the core that took part in every change. */
enum class Loss : std::uint8_t { Emptied, Flipped, Truncated, RolledBack };

/**
 * Five cores. Changes are acknowledged by the cores 0, 1 and 2 while 3 and 4 are cut off; then 2
 * loses its state, and the cores are cut anew into 0 and 1 against 2, 3 and 4. The only core that
 * knew the changes among these three is the one which lost its state.
 */
class ForgottenState {
 public:
  ForgottenState(std::uint64_t seed, Loss loss) : fleet_(seed, FleetSize{}) {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    young_disk_ = forgetful().disk();
    cut({0, 1, 2}, {3, 4});
    FakeOperator& one = *fleet_.operators.front();
    one.start();
    EXPECT_TRUE(
        fleet_.world.runUntil([&] { return acknowledgedZones().size() >= 3; }, seconds(60)));
    one.finish();
    EXPECT_TRUE(fleet_.world.runUntil([&] { return one.idle(); }, seconds(20)));
    forgetful().kill(CrashKind::Kill);
    lose(loss);
    fleet_.network.healAll();
    cut({0, 1}, {2, 3, 4});
    forgetful().start();
    fleet_.world.runFor(seconds(5));
  }

  /** Acknowledged evacuations which a configuration read at a core lacks; nothing where the core
   * answers no read. */
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
  SimulatedCore& forgetful() { return *fleet_.cores[2]; }

  void cut(const std::vector<std::size_t>& some, const std::vector<std::size_t>& others) {
    for (const std::size_t one : some) {
      for (const std::size_t other : others) {
        fleet_.network.cut(fleet_.cores[one]->address(), fleet_.cores[other]->address());
      }
    }
  }

  void lose(Loss loss) {
    simulation::SimulatedDisk& disk = forgetful().disk();
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
        disk = *young_disk_;
        break;
    }
  }

  /** Zones whose evacuation was acknowledged and not withdrawn by any change that was sent. */
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
  std::optional<simulation::SimulatedDisk> young_disk_;
};

class ForgottenStateTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ForgottenStateTest, ACoreThatLostItsStateGivesNoMajorityToThoseWhoNeverKnewIt) {
  for (const Loss loss : {Loss::Emptied, Loss::Flipped, Loss::Truncated}) {
    SCOPED_TRACE(static_cast<int>(loss));
    ForgottenState forgotten(GetParam(), loss);
    EXPECT_EQ(forgotten.missingAt(3).value_or(0), 0U);
    forgotten.heal();
    EXPECT_EQ(forgotten.missingAt(3), std::optional<std::size_t>(0));
  }
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, ForgottenStateTest, testing::Range<std::uint64_t>(1, 51));

TEST(ForgottenStateRedTest, ACoreThatVotesOnWhatItForgotBringsAnOlderConfigurationBack) {
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ForgottenState forgotten(seed, Loss::RolledBack);
    broken += forgotten.missingAt(3).value_or(0) > 0 ? 1 : 0;
  }
  EXPECT_EQ(broken, 10U);
}

}  // namespace
}  // namespace switchsaddle::scenarios
