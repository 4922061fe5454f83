#include "switchsaddle/scenarios/configuration_scenario.h"

#include <gtest/gtest.h>

#include <iostream>

#include "switchsaddle/scenarios/control_sweep.h"

namespace switchsaddle::scenarios {
namespace {

constexpr std::uint64_t SeedCount = 100;
/** Limit of seeds tried with a mechanism off until one run has a violation. */
constexpr std::uint64_t MaxSeedsWithoutMechanism = 1'000;

void expectKept(const ConfigurationScenarioResult& result, std::uint64_t seed) {
  for (const std::string& violation : result.violations) {
    ADD_FAILURE() << "seed " << seed << ": " << violation;
  }
  EXPECT_GT(result.acknowledged, 0U) << "seed " << seed;
  EXPECT_GT(result.dispatches, 0U) << "seed " << seed;
}

TEST(ConfigurationScenarioTest, KeepsEveryInvariantUnderFaults) {
  ConfigurationScenarioResult sums;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    ConfigurationScenario scenario(optionsForSeed(seed));
    const ConfigurationScenarioResult result = scenario.run();
    expectKept(result, seed);
    sums.acknowledged += result.acknowledged;
    sums.conflicts += result.conflicts;
    sums.resends += result.resends;
    sums.repetitions += result.repetitions;
    sums.unknown_keys += result.unknown_keys;
    sums.dispatches += result.dispatches;
  }
  std::cout << sums.acknowledged << " acknowledged, " << sums.conflicts << " conflicts, "
            << sums.resends << " resends, " << sums.repetitions << " repetitions, "
            << sums.dispatches << " dispatches, " << sums.unknown_keys << " unknown keys\n";
  EXPECT_GT(sums.acknowledged, SeedCount * 10);
  EXPECT_GT(sums.conflicts, SeedCount * 5);
  EXPECT_GT(sums.resends, SeedCount * 5);
  EXPECT_GT(sums.repetitions, SeedCount * 3);
  EXPECT_GT(sums.dispatches, SeedCount * 500);
  EXPECT_GT(sums.unknown_keys, SeedCount * 100);
}

/** Operators read from any node at any time. A node that can't confirm the newest version answers
 * 503. */
TEST(ConfigurationScenarioTest, ReadsReturnNoVersionOlderThanTheAcknowledgedOne) {
  constexpr std::uint64_t FirstSeed = 1'001;
  ConfigurationScenarioResult sums;
  for (std::uint64_t seed = FirstSeed; seed < FirstSeed + SeedCount; ++seed) {
    ConfigurationScenarioOptions options = optionsForSeed(seed);
    options.reads = true;
    const ConfigurationScenarioResult result = ConfigurationScenario(options).run();
    for (const std::string& violation : result.violations) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    sums.reads += result.reads;
    sums.reads_refused += result.reads_refused;
  }
  std::cout << sums.reads << " reads answered, " << sums.reads_refused << " refused\n";
  EXPECT_GT(sums.reads, SeedCount * 500);
  EXPECT_GT(sums.reads_refused, SeedCount * 20);
}

/** Seeds outside the fixed range that once found a defect. */
TEST(ConfigurationScenarioTest, KeepsEveryInvariantUnderSeedsThatFoundDefects) {
  for (const std::uint64_t seed : {391U, 715U}) {
    ConfigurationScenario scenario(optionsForSeed(seed));
    expectKept(scenario.run(), seed);
  }
}

TEST(ThousandChangesTest, KeepsEveryInvariantOverAThousandChanges) {
  constexpr std::uint64_t Seed = 101;
  ConfigurationScenarioOptions options = optionsForSeed(Seed);
  options.changes = 1'000;
  options.fault_time = std::chrono::minutes(30);
  options.fault_pause = std::chrono::seconds(6);
  ConfigurationScenario scenario(options);
  const ConfigurationScenarioResult result = scenario.run();
  expectKept(result, Seed);
  EXPECT_GE(result.acknowledged, options.changes);
  std::cout << result.acknowledged << " acknowledged under " << result.faults << " faults in "
            << base::toMilliseconds(result.fault_time) << " ms\n";
}

class ConfigurationScenarioRedTest : public testing::TestWithParam<std::string> {};

TEST_P(ConfigurationScenarioRedTest, DetectsADisabledMechanism) {
  std::uint64_t seed = 0;
  std::size_t violations = 0;
  while (violations == 0 && seed < MaxSeedsWithoutMechanism) {
    ConfigurationScenarioOptions options = optionsForSeed(++seed);
    disableMechanism(GetParam(), options);
    ConfigurationScenario scenario(options);
    violations = scenario.run().violations.size();
  }
  std::cout << GetParam() << " off: " << violations << " violations at seed " << seed << '\n';
  EXPECT_GT(violations, 0U);
}

std::string nameOf(const testing::TestParamInfo<std::string>& info) {
  std::string name;
  for (const char letter : info.param) {
    name += letter == '-' ? '_' : letter;
  }
  return name;
}

INSTANTIATE_TEST_SUITE_P(Mechanisms, ConfigurationScenarioRedTest, testing::ValuesIn(mechanisms()),
                         nameOf);

}  // namespace
}  // namespace switchsaddle::scenarios
