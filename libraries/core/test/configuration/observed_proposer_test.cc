#include "switchsaddle/core/configuration/observed_proposer.h"

#include <gtest/gtest.h>

#include <numeric>

#include "fakes.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::core {
namespace {

class ObservedProposerTest : public testing::Test {
 protected:
  simulation::World world_{1};
  simulation::Process process_{world_};
  FakeProposer inner_;
  simulation::CollectingIncidents incidents_;
  ObservedProposer proposer_{process_, inner_, incidents_};
};

TEST_F(ObservedProposerTest, ForwardsOperationsAndMeasuresThem) {
  registers::RegisterOutcome result;
  proposer_.change(
      "configuration", [](const std::string&) { return std::optional<std::string>("new"); },
      [&](const registers::RegisterOutcome& outcome) { result = outcome; });
  EXPECT_EQ(result.value, "new");
  EXPECT_TRUE(result.changed);
  proposer_.read("configuration", [&](const auto& outcome) { result = outcome; });
  EXPECT_FALSE(result.changed);
  EXPECT_EQ(proposer_.counters().operations, 2U);
  const auto& counts = proposer_.counters().latency.counts();
  EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}), 2U);
  EXPECT_TRUE(incidents_.all.empty());
}

TEST_F(ObservedProposerTest, ReportsALostQuorumWithTheRegister) {
  inner_.has_quorum = false;
  proposer_.read("configuration", [](const auto&) {});
  ASSERT_EQ(incidents_.all.size(), 1U);
  EXPECT_EQ(incidents_.all[0].event, "no-quorum");
  EXPECT_EQ(incidents_.all[0].code, base::ResultCode::NoQuorum);
  EXPECT_EQ(incidents_.all[0].fields[0].value, "configuration");
  EXPECT_TRUE(incidents_.all[0].dumps_ring);
  EXPECT_EQ(proposer_.counters().without_quorum, 1U);
}

}  // namespace
}  // namespace switchsaddle::core
