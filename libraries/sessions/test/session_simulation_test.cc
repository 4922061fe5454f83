#include <gtest/gtest.h>

#include <iostream>

#include "session_fleet.h"

namespace switchsaddle::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t SeedCount = 300;
/** Number of seeds for runs with a rule switched off. */
constexpr std::uint64_t FaultySeedCount = 150;

/** 30 s of faults, commits and reads under one seed. */
void runSeed(SessionFleet& fleet, std::uint64_t seed) {
  fleet.network.conditions.loss = static_cast<double>(seed % 4) * 0.03;
  fleet.network.conditions.duplication = static_cast<double>(seed % 3) * 0.05;
  const std::uint64_t delays[] = {2, 2, 60, 150, 900};
  fleet.network.conditions.maximum_delay = milliseconds(delays[seed % 5]);
  const base::TimePoint end = fleet.world.now() + seconds(30);
  fleet.run(seconds(3));
  while (fleet.violation.empty() && fleet.world.now() < end) {
    if (fleet.random.chance(0.15)) {
      fleet.injectFault();
    }
    if (fleet.random.chance(0.3)) {
      fleet.commit();
    }
    fleet.read(fleet.core(fleet.random.below(SessionFleet::CoreCount)));
    fleet.run(milliseconds(10 + fleet.random.below(120)));
  }
}

/** 20 s of front restarts with slow messages, commits and reads under one seed. */
void runOpenings(SessionFleet& fleet, std::uint64_t /*seed*/) {
  fleet.network.conditions.maximum_delay = milliseconds(90);
  const base::TimePoint end = fleet.world.now() + seconds(20);
  fleet.run(seconds(2));
  while (fleet.violation.empty() && fleet.world.now() < end) {
    if (fleet.random.chance(0.1)) {
      SessionNode& front = fleet.front(fleet.random.below(SessionFleet::FrontCount));
      fleet.kill(front);
      fleet.start(front);
    }
    fleet.commit();
    fleet.read(fleet.core(fleet.random.below(SessionFleet::CoreCount)));
    fleet.run(milliseconds(10 + fleet.random.below(50)));
  }
}

using Scenario = void (*)(SessionFleet&, std::uint64_t);

std::uint64_t seedsWithViolation(Scenario scenario, FleetFaults faults) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= FaultySeedCount; ++seed) {
    SessionFleet fleet(seed, faults);
    scenario(fleet, seed);
    found += fleet.violation.empty() ? 0 : 1;
  }
  std::cout << "violations: " << found << " of " << FaultySeedCount << " seeds\n";
  return found;
}

TEST(SessionSimulationTest, FrontAbsentFromAReadNeverDispatchesOnOlderVersions) {
  std::uint64_t reads = 0;
  std::uint64_t absences = 0;
  std::uint64_t dispatching = 0;
  std::uint64_t without_core = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    SessionFleet fleet(seed);
    runSeed(fleet, seed);
    ASSERT_EQ(fleet.violation, "") << "seed " << seed;
    fleet.network.conditions = {};
    // Freezes end, some of them with a partition, up to 20 s after they began.
    fleet.run(seconds(21));
    fleet.repair();
    fleet.run(seconds(5));
    ASSERT_EQ(fleet.violation, "") << "seed " << seed;
    ASSERT_TRUE(fleet.allServing()) << "seed " << seed;
    reads += fleet.reads_completed;
    absences += fleet.absences;
    dispatching += fleet.checks_dispatching;
    without_core += fleet.checks_without_core;
  }
  std::cout << "reads " << reads << ", absences " << absences << ", checks while dispatching "
            << dispatching << ", of them without core " << without_core << '\n';
  EXPECT_GT(reads, SeedCount * 10);
  EXPECT_GT(absences, SeedCount * 5);
  EXPECT_GT(without_core, SeedCount);
}

TEST(SessionSimulationTest, OpeningDuringCommitsAndReadsKeepsTheInvariant) {
  EXPECT_EQ(seedsWithViolation(runOpenings, {}), 0U);
}

TEST(SessionSimulationTest, DetectsAFrontThatTakesTheVersionOfItsFirstGrant) {
  const FleetFaults faults{.client = {.version_of_first_grant = true}};
  EXPECT_GT(seedsWithViolation(runOpenings, faults), 0U);
}

TEST(SessionSimulationTest, DetectsAFrontThatCountsFromReceipt) {
  const FleetFaults faults{.client = {.count_from_receipt = true}};
  EXPECT_GT(seedsWithViolation(runSeed, faults), 0U);
}

TEST(SessionSimulationTest, DetectsGraceAfterAGapInTheRefusals) {
  const FleetFaults faults{.client = {.grace_after_gap = true}};
  EXPECT_GT(seedsWithViolation(runSeed, faults), 0U);
}

TEST(SessionSimulationTest, DetectsACoreWithoutRecoveryTime) {
  const FleetFaults faults{.table = {.skip_recovery = true}};
  EXPECT_GT(seedsWithViolation(runSeed, faults), 0U);
}

/**
 * A read from core 4 whose last answer, from the frozen core 2, is late. Cores 0 to 2 have the
 * front's session when the read begins; cores 0, 1 and 3 have it when the read ends. A read that
 * accepts the late answer misses the session.
 */
void runLateAnswer(SessionFleet& fleet) {
  fleet.apply_versions = false;
  SessionNode& front = fleet.front(0);
  for (const std::size_t core : {1, 2, 3, 4}) {
    fleet.network.cut(fleet.core(core).address, front.address);
  }
  for (const std::size_t core : {3, 4}) {
    fleet.network.cut(fleet.core(0).address, fleet.core(core).address);
  }
  fleet.network.cut(fleet.core(4).address, fleet.core(1).address);
  fleet.run(milliseconds(5'100));
  ASSERT_EQ(front.client->state(), SessionState::Serving);
  for (const std::size_t core : {2, 3, 4}) {
    fleet.core(core).accepted = 1;
  }
  fleet.core(2).process.freeze();
  fleet.read(fleet.core(4));
  fleet.run(milliseconds(5));
  fleet.network.heal(fleet.core(0).address, fleet.core(3).address);
  fleet.run(milliseconds(1'595));
  fleet.core(2).process.wake();
  fleet.run(milliseconds(100));
  EXPECT_EQ(front.client->state(), SessionState::Serving);
}

TEST(SessionSimulationTest, ReadRejectsAnswersBeyondTheRoundLimit) {
  SessionFleet fleet(1);
  runLateAnswer(fleet);
  EXPECT_EQ(fleet.violation, "");
}

TEST(SessionSimulationTest, DetectsAReadWithoutRoundLimit) {
  SessionFleet fleet(1, {.table = {.unbounded_read = true}});
  runLateAnswer(fleet);
  EXPECT_NE(fleet.violation, "");
}

}  // namespace
}  // namespace switchsaddle::sessions
