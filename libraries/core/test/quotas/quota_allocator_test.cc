#include "switchsaddle/core/quotas/quota_allocator.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::core {
namespace {

class QuotaAllocatorTest : public testing::Test {
 protected:
  QuotaAllocatorTest() {
    auto view = std::make_shared<configuration::View>();
    configuration::ForwardTenant& tenant = view->forwarding.tenants["t"];
    tenant.name = "t";
    tenant.rate_per_s = 100;
    allocator.setConfiguration(view);
    // The core has received the records of the fronts for a whole window.
    allocator.allocate({});
    world.runFor(std::chrono::seconds(8));
  }
  /** The allocation for the front of a record. */
  std::vector<wire::TenantAllocation> allocationsFor(std::size_t index) {
    return allocator.allocate(records[index].record).value();
  }
  wire::SessionRecord& front(std::uint16_t port, float per_s, float admitted) {
    wire::SessionTableEntry entry;
    entry.record.front = {"127.0.0.1", port};
    entry.record.instance = port;
    entry.record.demand = {{"t", per_s, admitted}};
    records.push_back(entry);
    return records.back().record;
  }

  simulation::World world{1};
  simulation::Process process{world};
  std::vector<wire::SessionTableEntry> records;
  QuotaAllocator allocator{process,
                           [this](const QuotaAllocator::RecordVisitor& visitor) {
                             for (const wire::SessionTableEntry& entry : records) {
                               visitor(entry.record);
                             }
                           },
                           {8, 0, 0}};
};

TEST_F(QuotaAllocatorTest, AllocatesNothingUntilItHasReceivedRecordsForAWindow) {
  front(1, 90, 700);
  allocator.stopReceiving();
  EXPECT_FALSE(allocator.allocate(records[0].record).has_value());
  world.runFor(std::chrono::milliseconds(7'900));
  EXPECT_FALSE(allocator.allocate(records[0].record).has_value());
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_TRUE(allocator.allocate(records[0].record).has_value());
}

TEST_F(QuotaAllocatorTest, AllocatesNothingForATenantThatUsedLittle) {
  front(1, 10, 100);
  EXPECT_TRUE(allocationsFor(0).empty());
}

TEST_F(QuotaAllocatorTest, SharesFollowDemandAndSumToOne) {
  front(1, 90, 300);
  front(2, 10, 300);
  const auto first = allocationsFor(0);
  const auto second = allocationsFor(1);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_FLOAT_EQ(first[0].fleet_admitted, 600);
  EXPECT_FLOAT_EQ(first[0].fleet_units_per_s, 100);
  EXPECT_GT(first[0].share, second[0].share);
  EXPECT_NEAR(first[0].share + second[0].share, 1.0, 1e-6);
}

TEST_F(QuotaAllocatorTest, UnitsAdmittedByAnUnresponsiveFrontStillCount) {
  front(1, 50, 300);
  front(2, 50, 300);
  EXPECT_FLOAT_EQ(allocationsFor(0)[0].fleet_admitted, 600);
  records.pop_back();
  world.runFor(std::chrono::seconds(5));
  // While partitioned it may admit its equal share of the 800.
  EXPECT_FLOAT_EQ(allocationsFor(0)[0].fleet_admitted, 700);
  // Another process at its address shows that it has ended.
  wire::SessionRecord& restarted = front(2, 50, 0);
  restarted.instance = 77;
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_FLOAT_EQ(allocationsFor(0)[0].fleet_admitted, 600);
  records.pop_back();
  // The units admitted by the front have left the window, but it may be partitioned and use its
  // share.
  world.runFor(std::chrono::seconds(11));
  EXPECT_FLOAT_EQ(allocationsFor(0)[0].fleet_admitted, 700);
  world.runFor(std::chrono::seconds(61));
  EXPECT_FLOAT_EQ(allocationsFor(0)[0].fleet_admitted, 300);
}

TEST_F(QuotaAllocatorTest, CoreWithoutAFullWindowDecidesOnlyIfMostFrontsHaveJustStarted) {
  wire::SessionRecord& old = front(1, 50, 300);
  old.fleet_knowledge.age_ms = 60'000;
  EXPECT_TRUE(allocator.mayDecide());
  EXPECT_DOUBLE_EQ(allocator.useOf("t").value().admitted, 300);
  // The core was partitioned: the fronts kept running, and other cores received their records.
  allocator.stopReceiving();
  EXPECT_FALSE(allocator.mayDecide());
  EXPECT_FALSE(allocator.useOf("t").has_value());
  // All fronts have just started: no core has records, and earlier use leaves the window gradually.
  records.clear();
  front(2, 50, 10);
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_TRUE(allocator.mayDecide());
  const double initially = allocator.useOf("t").value().admitted;
  world.runFor(std::chrono::seconds(4));
  // Half of the 0.84 x 800 that are assumed to have been used before.
  EXPECT_NEAR(initially - allocator.useOf("t").value().admitted, 336, 1);
}

}  // namespace
}  // namespace switchsaddle::core
