// Every core loses power at once while all disks have unfinished operations.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <optional>
#include <string>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The version in a body of GET /v1/configuration. */
std::uint64_t versionIn(const std::string& body) {
  constexpr std::string_view Name = "\"version\":";
  const std::size_t found = body.find(Name);
  return found == std::string::npos
             ? 0
             : std::strtoull(body.c_str() + found + Name.size(), nullptr, 10);
}

/** Stalls all disks during changes, cuts the power, and compares the versions before and after. */
class PowerLoss {
 public:
  PowerLoss(std::uint64_t seed, const core::CoreFaults& faults)
      : fleet_(seed, FleetSize{}, faults) {
    fleet_.operators.front()->setAcknowledgedListener([this](const OperatorChange& change) {
      acknowledged_ = std::max(acknowledged_, change.version);
    });
  }

  /** Whether the newest acknowledged version is still in force afterwards. */
  bool keepsTheNewestAcknowledgedVersion() {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    fleet_.operators.front()->start();
    EXPECT_TRUE(fleet_.world.runUntil([this] { return acknowledged_ >= 3; }, seconds(30)));
    for (const auto& core : fleet_.cores) {
      core->stallDisk(seconds(1));
    }
    fleet_.world.runFor(milliseconds(900));
    for (const auto& core : fleet_.cores) {
      core->kill(CrashKind::PowerLoss);
    }
    const std::uint64_t acknowledged_before = acknowledged_;
    fleet_.operators.front()->finish();
    for (const auto& core : fleet_.cores) {
      core->start();
    }
    return versionAfterwards() >= acknowledged_before;
  }

 private:
  std::uint64_t versionAfterwards() {
    std::uint64_t version = 0;
    for (int attempt = 0; attempt < 10 && version == 0; ++attempt) {
      fleet_.world.runFor(seconds(1));
      fleet_.operators.front()->readConfiguration(
          fleet_.cores.front()->address(), [&version](const std::optional<std::string>& body) {
            version = body ? versionIn(*body) : 0;
          });
      fleet_.world.runFor(seconds(2));
    }
    EXPECT_GT(version, 0U);
    return version;
  }

  Fleet fleet_;
  std::uint64_t acknowledged_ = 0;
};

class PowerLossTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(PowerLossTest, EveryAcknowledgedChangeIsDurable) {
  EXPECT_TRUE(PowerLoss(GetParam(), {}).keepsTheNewestAcknowledgedVersion());
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, PowerLossTest, testing::Range<std::uint64_t>(1, 21));

TEST(PowerLossRedTest, DetectsAcceptorsThatAnswerBeforeTheSync) {
  core::CoreFaults faults;
  faults.answer_before_sync = true;
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    lost += PowerLoss(seed, faults).keepsTheNewestAcknowledgedVersion() ? 0 : 1;
  }
  EXPECT_GE(lost, 8);
  RecordProperty("seeds_with_a_lost_change", lost);
}

}  // namespace
}  // namespace switchsaddle::scenarios
