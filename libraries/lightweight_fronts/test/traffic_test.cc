#include <gtest/gtest.h>

#include "lightweight_fleet.h"

namespace switchsaddle::lightweight_fronts {
namespace {

using std::chrono::seconds;

/** @return the bytes that each front receives per second without load, of one kind of message or,
 * if null, of all. */
double idleBytes(std::size_t fronts, const wire::Message* kind) {
  LightweightFleet fleet(7, fronts);
  EXPECT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  fleet.fleet.world.runFor(seconds(5));
  fleet.received = {};
  fleet.fleet.world.runFor(seconds(10));
  double bytes = 0;
  for (std::size_t index = 0; index < fleet.received.size(); ++index) {
    if (kind == nullptr || index == kind->index()) {
      bytes += static_cast<double>(fleet.received.at(index).bytes);
    }
  }
  return bytes / 10 / static_cast<double>(fronts);
}

TEST(TrafficTest, SessionRenewalsDoNotGrowWithTheNumberOfFronts) {
  const wire::Message grants = wire::SessionOpenReply{};
  const double few = idleBytes(10, &grants);
  const double many = idleBytes(60, &grants);
  EXPECT_GT(few, 0);
  EXPECT_LT(many, few * 1.1);
}

TEST(TrafficTest, AnIdleFrontStaysWithinItsTrafficBudget) {
  EXPECT_LT(idleBytes(60, nullptr), 2'500);
}

}  // namespace
}  // namespace switchsaddle::lightweight_fronts
