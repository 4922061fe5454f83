// Disk faults on whole core nodes while operators change the configuration.

#include <gtest/gtest.h>

#include <string>

#include "switchsaddle/scenarios/configuration_scenario.h"

namespace switchsaddle::scenarios {
namespace {

ConfigurationScenarioOptions diskOptions(std::uint64_t seed) {
  ConfigurationScenarioOptions options;
  options.seed = seed;
  options.disk_faults = true;
  // Long enough to inject nearly every kind of fault in each run.
  options.fault_time = std::chrono::seconds(50);
  return options;
}

class DiskFaultScenarioTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DiskFaultScenarioTest, AcknowledgedChangesSurviveDiskFaults) {
  ConfigurationScenario scenario(diskOptions(GetParam()));
  const ConfigurationScenarioResult result = scenario.run();
  for (const std::string& violation : result.violations) {
    ADD_FAILURE() << "seed " << GetParam() << ": " << violation;
  }
  EXPECT_GT(result.acknowledged, 0U);
  EXPECT_GT(result.disk_faults, 10U);
  RecordProperty("acknowledged", std::to_string(result.acknowledged));
  RecordProperty("disk_faults", std::to_string(result.disk_faults));
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, DiskFaultScenarioTest, testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace switchsaddle::scenarios
