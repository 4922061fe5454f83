#include "attempt/dispatch_guard.h"

#include <gtest/gtest.h>

#include "fakes.h"

namespace switchsaddle::front {
namespace {

using base::ResultCode;

class DispatchGuardTest : public testing::Test {
 protected:
  FakeSession session;
  FakeFleetView fleet_view;
  DispatchGuard guard{session, fleet_view};
};

TEST_F(DispatchGuardTest, RejectsDispatchesWhileTheSessionIsExpired) {
  EXPECT_EQ(guard.checkSession(), ResultCode::Ok);
  session.now = sessions::SessionState::Expired;
  EXPECT_EQ(guard.checkSession(), ResultCode::NotServing);
}

TEST_F(DispatchGuardTest, RejectsDispatchesUnderARevokedKey) {
  EXPECT_EQ(guard.checkKey(FakeFleetView::KeyHash), ResultCode::Ok);
  fleet_view.view.keys.clear();
  EXPECT_EQ(guard.checkKey(FakeFleetView::KeyHash), ResultCode::UnknownKey);
}

}  // namespace
}  // namespace switchsaddle::front
