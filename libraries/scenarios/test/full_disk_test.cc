// One core has a full disk and is partitioned from one other core; all fronts must keep serving.

#include <gtest/gtest.h>

#include <chrono>

#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FullDiskTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FullDiskTest, SessionsStayActiveWhileOneMembersDiskIsFull) {
  FleetSize size;
  size.fronts = 8;
  Fleet fleet(GetParam(), size);
  fleet.addModelWorker();
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  const std::size_t full = GetParam() % size.cores;
  fleet.cores[full]->disk().setFull(true);
  fleet.network.cut(fleet.cores[full]->address(), fleet.cores[(full + 1) % size.cores]->address());
  fleet.operators.front()->start();
  int expired_sessions = 0;
  for (int poll = 0; poll < 400; ++poll) {
    fleet.world.runFor(milliseconds(10));
    for (const auto& front : fleet.fronts) {
      expired_sessions += front->dispatchVersion() ? 0 : 1;
    }
  }
  EXPECT_EQ(expired_sessions, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FullDiskTest, testing::Range<std::uint64_t>(1, 11));

}  // namespace
}  // namespace switchsaddle::scenarios
