#include "switchsaddle/core/quota_allocator.h"

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
    // It has heard the fronts for a whole window.
    allocator.allocate({});
    world.runFor(std::chrono::seconds(8));
  }
  /** What the allocator says to the front of a record. */
  std::vector<wire::TenantAllocation> told(std::size_t index) {
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

TEST_F(QuotaAllocatorTest, KnowsNothingUntilItHasHeardTheFrontsForAWindow) {
  front(1, 90, 700);
  allocator.stopReceiving();
  EXPECT_FALSE(allocator.allocate(records[0].record).has_value());
  world.runFor(std::chrono::milliseconds(7'900));
  EXPECT_FALSE(allocator.allocate(records[0].record).has_value());
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_TRUE(allocator.allocate(records[0].record).has_value());
}

TEST_F(QuotaAllocatorTest, SaysNothingOfATenantThatUsedLittle) {
  front(1, 10, 100);
  EXPECT_TRUE(told(0).empty());
}

TEST_F(QuotaAllocatorTest, PartsFollowDemandAndSumToTheWhole) {
  front(1, 90, 300);
  front(2, 10, 300);
  const auto first = told(0);
  const auto second = told(1);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_FLOAT_EQ(first[0].fleet_admitted, 600);
  EXPECT_FLOAT_EQ(first[0].fleet_units_per_s, 100);
  EXPECT_GT(first[0].share, second[0].share);
  EXPECT_NEAR(first[0].share + second[0].share, 1.0, 1e-6);
}

TEST_F(QuotaAllocatorTest, WhatASilentFrontLetInCountsOn) {
  front(1, 50, 300);
  front(2, 50, 300);
  EXPECT_FLOAT_EQ(told(0)[0].fleet_admitted, 600);
  records.pop_back();
  world.runFor(std::chrono::seconds(5));
  // It may let in its equal part of the 800 by itself.
  EXPECT_FLOAT_EQ(told(0)[0].fleet_admitted, 700);
  // Another process at its address shows that it has ended.
  wire::SessionRecord& restarted = front(2, 50, 0);
  restarted.instance = 77;
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_FLOAT_EQ(told(0)[0].fleet_admitted, 600);
  records.pop_back();
  // What it had let in has left the window, but cut off it could still use its part.
  world.runFor(std::chrono::seconds(11));
  EXPECT_FLOAT_EQ(told(0)[0].fleet_admitted, 700);
  world.runFor(std::chrono::seconds(61));
  EXPECT_FLOAT_EQ(told(0)[0].fleet_admitted, 300);
}

TEST_F(QuotaAllocatorTest, ACoreThatDoesNotKnowWhatWasUsedDecidesOnlyWhereNobodyCan) {
  wire::SessionRecord& old = front(1, 50, 300);
  old.fleet_knowledge.age_ms = 60'000;
  EXPECT_TRUE(allocator.mayDecide());
  EXPECT_DOUBLE_EQ(allocator.useOf("t").value().admitted, 300);
  // It was cut off: the fronts have run on, and other cores have heard them.
  allocator.stopReceiving();
  EXPECT_FALSE(allocator.mayDecide());
  EXPECT_FALSE(allocator.useOf("t").has_value());
  // All have just started: nobody knows, and what was used before has left the window by and by.
  records.clear();
  front(2, 50, 10);
  world.runFor(std::chrono::milliseconds(200));
  EXPECT_TRUE(allocator.mayDecide());
  const double at_first = allocator.useOf("t").value().admitted;
  world.runFor(std::chrono::seconds(4));
  // Half of the 0.84 x 800 that are assumed to have been used.
  EXPECT_NEAR(at_first - allocator.useOf("t").value().admitted, 336, 1);
}

}  // namespace
}  // namespace switchsaddle::core
