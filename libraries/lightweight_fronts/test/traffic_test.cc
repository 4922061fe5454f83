#include <gtest/gtest.h>

#include "lightweight_fleet.h"

namespace switchsaddle::lightweight_fronts {
namespace {

using std::chrono::seconds;

/** Bytes that each front receives in a quiet second, of one kind of message or of all. */
double quietBytes(std::size_t fronts, const wire::Message* kind) {
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

TEST(TrafficTest, ASessionsRenewalsDoNotGrowWithTheNumberOfFronts) {
  const wire::Message grants = wire::SessionOpenReply{};
  const double few = quietBytes(10, &grants);
  const double many = quietBytes(60, &grants);
  EXPECT_GT(few, 0);
  EXPECT_LT(many, few * 1.1);
}

TEST(TrafficTest, AQuietFrontStaysWithinItsAllowance) {
  EXPECT_LT(quietBytes(60, nullptr), 2'500);
}

}  // namespace
}  // namespace switchsaddle::lightweight_fronts
