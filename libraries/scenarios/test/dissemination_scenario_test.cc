#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::seconds;

constexpr std::size_t BulkEntries = 200;

/** Configuration deltas sent to one node, in messages and bytes. */
struct DeltaTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  /** Messages that start from version 0 and so contain the whole configuration. */
  std::uint64_t whole = 0;
};

const wire::ConfigurationDelta* deltaIn(const wire::Message& message) {
  if (const auto* delta = std::get_if<wire::ConfigurationDelta>(&message)) {
    return delta;
  }
  const auto* gossip = std::get_if<wire::GossipDelta>(&message);
  return gossip != nullptr ? &gossip->configuration : nullptr;
}

class DisseminationScenarioTest : public testing::TestWithParam<std::size_t> {
 protected:
  DisseminationScenarioTest() {
    EXPECT_TRUE(fleet_.runUntilAllServe(0, seconds(12)));
    EXPECT_TRUE(fleet_.commitChange(firstChange(), seconds(12)));
    std::string bulk = R"({"change_id":"bulk","base_version":1,"set":{)";
    for (std::size_t index = 0; index < BulkEntries; ++index) {
      bulk += (index == 0 ? "" : ",") + evacuation(index);
    }
    EXPECT_TRUE(fleet_.commitChange(bulk + "}}", seconds(12)));
    fleet_.world.runFor(seconds(5));
    fleet_.network.observer = [this](const base::NodeAddress& to, const wire::Envelope& envelope,
                                     std::size_t bytes) { observe(to, envelope, bytes); };
  }

  static std::string evacuation(std::size_t index) {
    return "\"evacuations/zone-" + std::to_string(index) + "\":{}";
  }

  void observe(const base::NodeAddress& to, const wire::Envelope& envelope, std::size_t bytes) {
    const wire::ConfigurationDelta* delta = deltaIn(envelope.message);
    if (delta == nullptr || delta->to_version == 0) {
      return;
    }
    DeltaTraffic& traffic = traffic_[to];
    ++traffic.messages;
    traffic.bytes += bytes;
    traffic.whole += delta->from_version == 0 ? 1 : 0;
  }

  void change(std::uint64_t base_version, const std::string& content) {
    ASSERT_TRUE(fleet_.commitChange("{\"change_id\":\"c" + std::to_string(base_version) +
                                        "\",\"base_version\":" + std::to_string(base_version) +
                                        "," + content + "}",
                                    seconds(20)));
  }

  std::size_t fullSize() const {
    wire::Envelope envelope;
    envelope.message = fleet_.fronts[1]->node().replica().document().deltaSince(0);
    return wire::encode(envelope).size();
  }

  Fleet fleet_{3, FleetSize{.fronts = GetParam()}};
  std::map<base::NodeAddress, DeltaTraffic> traffic_;
};

TEST_P(DisseminationScenarioTest, AChangeReachesEachFrontAsSmallDeltas) {
  change(2, R"("set":{"evacuations/zone-north":{}})");
  fleet_.world.runFor(seconds(5));
  std::uint64_t bytes = 0;
  for (const auto& front : fleet_.fronts) {
    const DeltaTraffic& traffic = traffic_[front->address()];
    EXPECT_GE(traffic.messages, 1U);
    EXPECT_EQ(traffic.whole, 0U);
    bytes += traffic.bytes;
  }
  std::cout << GetParam() << " fronts: " << bytes << " bytes of deltas to fronts for one change, "
            << fullSize() << " bytes for the whole configuration\n";
  EXPECT_LT(bytes, GetParam() * fullSize() / 4);
}

TEST_P(DisseminationScenarioTest, AFrontPartitionedForAMinuteCatchesUpByDeltas) {
  WatchedFront& front = *fleet_.fronts[0];
  for (const auto& core : fleet_.cores) {
    fleet_.network.cut(front.address(), core->address());
  }
  for (const auto& other : fleet_.fronts) {
    fleet_.network.cut(front.address(), other->address());
  }
  const base::TimePoint partitioned_at = fleet_.world.now();
  change(2, R"("remove":["keys/caller"])");
  for (std::uint64_t version = 3; version < 20; ++version) {
    change(version, R"("set":{"evacuations/more-)" + std::to_string(version) + R"(":{}})");
  }
  change(20, R"("remove":["evacuations/zone-7"])");
  fleet_.world.runFor(seconds(60) - (fleet_.world.now() - partitioned_at));
  EXPECT_EQ(front.node().replica().version(), 2U);
  traffic_.clear();
  fleet_.network.healAll();
  ASSERT_TRUE(fleet_.runUntilAllServe(21, seconds(5)));
  fleet_.world.runFor(seconds(5));
  const DeltaTraffic& traffic = traffic_[front.address()];
  std::cout << GetParam() << " fronts: " << traffic.messages << " deltas of " << traffic.bytes
            << " bytes to the front that was partitioned, " << fullSize()
            << " bytes for the whole configuration\n";
  EXPECT_EQ(traffic.whole, 0U);
  EXPECT_LT(traffic.bytes, fullSize());
  // The front received the removals as tombstones.
  EXPECT_TRUE(front.node().replica().view()->keys.empty());
  EXPECT_EQ(front.node().replica().digest(), fleet_.fronts[1]->node().replica().digest());
}

INSTANTIATE_TEST_SUITE_P(Fronts, DisseminationScenarioTest, testing::Values(3, 8));

}  // namespace
}  // namespace switchsaddle::scenarios
