#include <gtest/gtest.h>

#include "slot_fleet.h"

namespace switchsaddle::admission::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Limit = 12;

class SlotLedgerTest : public ::testing::Test {
 protected:
  void build(std::uint64_t seed, int front_count) {
    world = std::make_unique<simulation::World>(seed);
    network = std::make_unique<simulation::Network>(*world);
    shared = std::make_unique<SharedRegister>(*world);
    for (int index = 0; index < 3; ++index) {
      const base::NodeAddress address{"127.0.0.1", static_cast<std::uint16_t>(100 + index)};
      core_addresses.push_back(address);
      cores.push_back(std::make_unique<LedgerNode>(*world, *network, *shared, address));
      cores.back()->ledger->setLimits({{branch, Limit}});
    }
    for (int index = 0; index < front_count; ++index) {
      const base::NodeAddress address{"127.0.0.2", static_cast<std::uint16_t>(200 + index)};
      fronts.push_back(std::make_unique<FrontNode>(*world, *network, address, core_addresses));
    }
  }

  void TearDown() override {
    fronts.clear();
    cores.clear();
  }

  void grantLease(std::size_t index) { moveLease(cores, index, ++term); }

  /** Slots in use as workers observe them: the connections of a killed front are closed. */
  std::size_t inUse() const {
    std::size_t used = 0;
    for (const auto& front : fronts) {
      used += front->permits.size();
    }
    return used;
  }

  int outcomes(base::ResultCode code) const {
    int count = 0;
    for (const auto& front : fronts) {
      const auto found = front->outcomes.find(code);
      count += found == front->outcomes.end() ? 0 : found->second;
    }
    return count;
  }

  std::string branch = branchOfShardZero();
  std::unique_ptr<simulation::World> world;
  std::unique_ptr<simulation::Network> network;
  std::unique_ptr<SharedRegister> shared;
  std::vector<base::NodeAddress> core_addresses;
  std::vector<std::unique_ptr<LedgerNode>> cores;
  std::vector<std::unique_ptr<FrontNode>> fronts;
  std::uint64_t term = 0;
};

TEST_F(SlotLedgerTest, GrantsUpToTheLimitAndRejectsTheNextAtOnce) {
  build(1, 2);
  grantLease(1);
  world->runFor(milliseconds(50));
  for (std::uint32_t index = 0; index < Limit; ++index) {
    fronts[index % 2]->request(branch, seconds(30));
  }
  world->runFor(seconds(1));
  EXPECT_EQ(inUse(), Limit);
  const base::TimePoint before = world->now();
  fronts[0]->request(branch, seconds(1));
  ASSERT_TRUE(world->runUntil([&] { return outcomes(base::ResultCode::OverBranchLimit) == 1; },
                              seconds(5)));
  EXPECT_LT(world->now() - before, milliseconds(300));
  EXPECT_EQ(inUse(), Limit);
}

TEST_F(SlotLedgerTest, RecallsIdleSlotsBeforeItRejects) {
  build(2, 2);
  grantLease(0);
  world->runFor(milliseconds(50));
  for (std::uint32_t index = 0; index < Limit; ++index) {
    fronts[0]->request(branch, milliseconds(100));
  }
  world->runUntil([&] { return inUse() == Limit; }, seconds(2));
  world->runUntil([&] { return inUse() == 0; }, seconds(2));
  fronts[1]->request(branch, seconds(1));
  world->runUntil([&] { return fronts[1]->outcomes.size() == 1; }, seconds(2));
  EXPECT_EQ(fronts[1]->outcomes.begin()->first, base::ResultCode::Ok);
}

TEST_F(SlotLedgerTest, SlotsOfAKilledFrontAreFreed) {
  build(3, 2);
  grantLease(0);
  world->runFor(milliseconds(50));
  for (std::uint32_t index = 0; index < Limit; ++index) {
    fronts[0]->request(branch, seconds(60));
  }
  world->runFor(milliseconds(200));
  fronts[0]->kill();
  fronts[1]->request(branch, seconds(1));
  world->runUntil([&] { return fronts[1]->outcomes.size() == 1; }, seconds(3));
  EXPECT_EQ(fronts[1]->outcomes.begin()->first, base::ResultCode::Ok);
}

TEST_F(SlotLedgerTest, SuccessorCountsTheSlotsOfAFrozenFront) {
  build(4, 2);
  grantLease(0);
  world->runFor(milliseconds(50));
  for (std::uint32_t index = 0; index < 8; ++index) {
    fronts[0]->request(branch, seconds(60));
  }
  world->runFor(milliseconds(300));
  ASSERT_EQ(inUse(), 8U);
  fronts[0]->process.freeze();
  cores[0]->process.kill();
  grantLease(2);
  world->runFor(milliseconds(300));
  for (std::uint32_t index = 0; index < Limit; ++index) {
    fronts[1]->request(branch, seconds(60));
  }
  world->runFor(seconds(5));
  EXPECT_LE(inUse(), Limit);
  EXPECT_GT(inUse(), 8U);
}

TEST_F(SlotLedgerTest, GrantsNothingWhileNoNodeHoldsTheLease) {
  build(5, 1);
  fronts[0]->request(branch, seconds(1));
  world->runFor(seconds(3));
  EXPECT_EQ(outcomes(base::ResultCode::LimitsUnavailable), 1);
  EXPECT_EQ(inUse(), 0U);
}

TEST_F(SlotLedgerTest, DelaysFenceRetriesWhileTheRegisterIsUnavailable) {
  build(9, 1);
  shared->available = false;
  grantLease(0);
  world->runFor(seconds(1));
  EXPECT_GE(shared->operations, 2U);
  EXPECT_LE(shared->operations, 12U);
  EXPECT_FALSE(cores[0]->ledger->serving());
  shared->available = true;
  world->runFor(milliseconds(200));
  EXPECT_TRUE(cores[0]->ledger->serving());
}

}  // namespace
}  // namespace switchsaddle::admission::testing
