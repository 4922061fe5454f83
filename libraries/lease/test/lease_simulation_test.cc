#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "lease_fleet.h"

namespace switchsaddle::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t SeedCount = 300;
constexpr base::Duration TakeoverBound = seconds(4);

/** Runs 60 s with network conditions and faults that depend on the seed. */
void runSeed(LeaseFleet& fleet, std::uint64_t seed) {
  fleet.network.conditions.loss = static_cast<double>(seed % 4) * 0.03;
  fleet.network.conditions.duplication = static_cast<double>(seed % 3) * 0.05;
  fleet.network.conditions.maximum_delay = milliseconds(seed % 5 == 0 ? 300 : 2);
  base::RandomSource random(seed);
  const base::TimePoint end = fleet.world.now() + seconds(60);
  fleet.run(seconds(4));
  while (fleet.violation.empty() && fleet.world.now() < end) {
    fleet.injectFault();
    fleet.run(milliseconds(20 + random.below(800)));
  }
}

std::uint64_t seedsWithViolation(LeaseGranterFaults granter, LeaseHolderFaults holder) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    LeaseFleet fleet(seed, granter, holder);
    runSeed(fleet, seed);
    found += fleet.violation.empty() ? 0 : 1;
  }
  return found;
}

TEST(LeaseSimulationTest, AtMostOneHolderAndTermsOnlyIncreaseUnderFaults) {
  std::uint64_t gains = 0;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    LeaseFleet fleet(seed);
    runSeed(fleet, seed);
    ASSERT_EQ(fleet.violation, "") << "seed " << seed;
    fleet.repair();
    fleet.network.conditions = {};
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)))
        << "seed " << seed << ": " << fleet.violation;
    gains += fleet.gains;
  }
  std::cout << "gains over " << SeedCount << " seeds: " << gains << '\n';
  EXPECT_GT(gains, SeedCount * 3);
}

TEST(LeaseSimulationTest, CheckerDetectsAGranterThatSkipsRecovery) {
  const std::uint64_t found = seedsWithViolation({.skip_recovery = true}, {});
  std::cout << "violations: " << found << " of " << SeedCount << " seeds\n";
  EXPECT_GT(found, 0U);
}

TEST(LeaseSimulationTest, CheckerDetectsAHolderThatMeasuresTheLeaseFromReceipt) {
  const std::uint64_t found = seedsWithViolation({}, {.count_from_receipt = true});
  std::cout << "violations: " << found << " of " << SeedCount << " seeds\n";
  EXPECT_GT(found, 0U);
}

TEST(LeaseSimulationTest, TakeoverStaysBelowFourSeconds) {
  std::vector<std::int64_t> times;
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    LeaseFleet fleet(seed);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
    fleet.run(milliseconds(seed * 37 % 2'000));
    LeaseNode* former = fleet.holder();
    ASSERT_NE(former, nullptr);
    fleet.kill(*former);
    const base::TimePoint killed = fleet.world.now();
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, TakeoverBound))
        << "seed " << seed;
    times.push_back(base::toMilliseconds(fleet.world.now() - killed));
  }
  std::sort(times.begin(), times.end());
  std::cout << "takeover ms: median " << times[times.size() / 2] << ", p99 "
            << times[times.size() * 99 / 100] << ", max " << times.back() << '\n';
}

/** Times of a lease with a short takeover, such as the platform watcher's. */
constexpr LeaseTimes ShortTimes{milliseconds(1'500), 0.1, milliseconds(250), milliseconds(150)};
/** Longer than the lease and a backoff, since the granters may be split between rivals. */
constexpr base::Duration ShortTakeoverBound = milliseconds(2'000);

TEST(LeaseSimulationTest, ShortLeaseIsTakenOverWithinItsBoundFromAKilledOrPartitionedHolder) {
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    LeaseFleet fleet(seed, {}, {}, ShortTimes);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
    fleet.run(milliseconds(seed * 37 % 2'000));
    LeaseNode* former = fleet.holder();
    ASSERT_NE(former, nullptr);
    for (const auto& node : fleet.nodes) {
      if (seed % 2 == 0 && node.get() != former) {
        fleet.network.cut(former->address, node->address);
      }
    }
    if (seed % 2 == 1) {
      fleet.kill(*former);
    }
    const auto taken_over = [&] { return fleet.holder() != nullptr && fleet.holder() != former; };
    ASSERT_TRUE(fleet.runUntil(taken_over, ShortTakeoverBound)) << "seed " << seed;
  }
}

TEST(LeaseSimulationTest, AtMostOneHolderOfAShortLeaseUnderFaults) {
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    LeaseFleet fleet(seed, {}, {}, ShortTimes);
    runSeed(fleet, seed);
    ASSERT_EQ(fleet.violation, "") << "seed " << seed;
  }
}

TEST(LeaseSimulationTest, TermsIncreaseAcrossARestartOfAllGranters) {
  LeaseFleet fleet(1);
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
    const std::uint64_t before = fleet.last_term;
    for (const auto& node : fleet.nodes) {
      fleet.kill(*node);
    }
    for (const auto& node : fleet.nodes) {
      fleet.start(*node);
    }
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)))
        << fleet.violation;
    EXPECT_GT(fleet.last_term, before);
  }
}

class LeaseRollingRestartTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LeaseRollingRestartTest, HolderKeepsTheLeaseDuringARollingRestartOfGranters) {
  LeaseFleet fleet(GetParam());
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
  fleet.run(seconds(4));
  LeaseNode* holder = fleet.holder();
  ASSERT_NE(holder, nullptr);
  bool lost = false;
  holder->holder->setListener([&](bool gained) { lost = lost || !gained; });
  for (std::size_t index = 0; index < LeaseFleet::GranterCount; ++index) {
    fleet.kill(*fleet.nodes[index]);
    fleet.start(*fleet.nodes[index]);
    fleet.run(seconds(4));
    ASSERT_EQ(fleet.holder(), holder);
  }
  EXPECT_FALSE(lost);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaseRollingRestartTest, testing::Range<std::uint64_t>(1, 31));

}  // namespace
}  // namespace switchsaddle::lease
