#include "switchsaddle/lease/lease_holder.h"

#include <gtest/gtest.h>

#include "lease_fleet.h"

namespace switchsaddle::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LeaseHolderTest, ReportsGainAndLossAndReleasesOnStop) {
  LeaseFleet fleet(1);
  std::vector<bool> reports;
  for (std::size_t index = LeaseFleet::GranterCount + 1; index < fleet.nodes.size(); ++index) {
    fleet.kill(*fleet.nodes[index]);
  }
  LeaseNode& node = *fleet.nodes[LeaseFleet::GranterCount];
  node.holder->setListener([&](bool gained) { reports.push_back(gained); });
  ASSERT_TRUE(fleet.runUntil([&] { return node.holder->held(); }, seconds(10)));
  EXPECT_GT(node.holder->term(), 0U);
  node.holder->stop();
  EXPECT_FALSE(node.holder->held());
  EXPECT_EQ(node.holder->term(), 0U);
  EXPECT_EQ(reports, (std::vector<bool>{true, false}));
  LeaseNode& rival = *fleet.nodes[LeaseFleet::GranterCount + 1];
  fleet.start(rival);
  EXPECT_TRUE(fleet.runUntil([&] { return rival.holder->held(); }, seconds(1)));
}

TEST(LeaseHolderTest, LeaseEndsBeforeAFrozenHolderResumes) {
  LeaseFleet fleet(2);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
  LeaseNode* node = fleet.holder();
  node->process.freeze();
  fleet.run(milliseconds(2'000));
  EXPECT_FALSE(node->holder->held());
}

TEST(LeaseHolderTest, LosesTheLeaseWhenPartitioned) {
  LeaseFleet fleet(3);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
  LeaseNode* node = fleet.holder();
  bool lost = false;
  node->holder->setListener([&](bool gained) { lost = !gained; });
  for (const base::NodeAddress& granter : fleet.coreAddresses()) {
    fleet.network.cut(granter, node->address);
  }
  EXPECT_TRUE(fleet.runUntil([&] { return lost; }, LeaseTimes{}.duration));
}

TEST(LeaseHolderTest, LosingCandidatesReleaseNothingThatWasNotGranted) {
  LeaseFleet fleet(4);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.holder() != nullptr; }, seconds(10)));
  fleet.run(seconds(2));
  std::size_t requests = 0;
  std::size_t releases = 0;
  fleet.network.observer = [&](const base::NodeAddress&, const wire::Envelope& envelope,
                               std::size_t) {
    requests += std::holds_alternative<wire::LeaseRequest>(envelope.message) ? 1U : 0U;
    releases += std::holds_alternative<wire::LeaseRelease>(envelope.message) ? 1U : 0U;
  };
  fleet.run(seconds(10));
  EXPECT_GT(requests, 0U);
  EXPECT_EQ(releases, 0U);
}

}  // namespace
}  // namespace switchsaddle::lease
