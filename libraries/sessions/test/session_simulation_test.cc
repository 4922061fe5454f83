#include <gtest/gtest.h>

#include <iostream>

#include "session_fleet.h"

namespace switchsaddle::sessions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t SeedCount = 400;

/** Thirty seconds of faults, commits and reads under one seed. */
void runSeed(SessionFleet& fleet, std::uint64_t seed) {
  fleet.network.conditions.loss = static_cast<double>(seed % 4) * 0.03;
  fleet.network.conditions.duplication = static_cast<double>(seed % 3) * 0.05;
  const std::uint64_t delays[] = {2, 2, 60, 150, 900};
  fleet.network.conditions.maximum_delay = milliseconds(delays[seed % 5]);
  const base::TimePoint end = fleet.world.now() + seconds(30);
  fleet.run(seconds(3));
  while (fleet.violation.empty() && fleet.world.now() < end) {
    if (fleet.random.chance(0.15)) {
      fleet.disturb();
    }
    if (fleet.random.chance(0.3)) {
      fleet.commit();
    }
    fleet.read(fleet.core(fleet.random.below(SessionFleet::CoreCount)));
    fleet.run(milliseconds(10 + fleet.random.below(120)));
  }
}

std::uint64_t seedsWithViolation(FleetFaults faults) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    SessionFleet fleet(seed, faults);
    runSeed(fleet, seed);
    found += fleet.violation.empty() ? 0 : 1;
  }
  std::cout << "violations: " << found << " of " << SeedCount << " seeds\n";
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
    fleet.repair();
    fleet.runUntil([] { return false; }, seconds(25));
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

TEST(SessionSimulationTest, FrontCountingFromReceiptIsFound) {
  EXPECT_GT(seedsWithViolation({.client = {.count_from_receipt = true}}), 0U);
}

TEST(SessionSimulationTest, FrontTakingTheVersionOfItsFirstGrantIsFound) {
  EXPECT_GT(seedsWithViolation({.client = {.version_of_first_grant = true}}), 0U);
}

TEST(SessionSimulationTest, CoreWithoutRecoveryPauseIsFound) {
  EXPECT_GT(seedsWithViolation({.table = {.skip_recovery = true}}), 0U);
}

TEST(SessionSimulationTest, ReadWithoutBoundIsFound) {
  EXPECT_GT(seedsWithViolation({.table = {.unbounded_read = true}}), 0U);
}

}  // namespace
}  // namespace switchsaddle::sessions
