#include "switchsaddle/front/node/session_monitor.h"

#include <gtest/gtest.h>

#include "fakes.h"
#include "switchsaddle/simulation/collecting_incidents.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

class SessionMonitorTest : public testing::Test {
 protected:
  void become(sessions::SessionState state) {
    session_.now = state;
    world_.runFor(std::chrono::seconds(1));
  }

  simulation::World world_{1};
  simulation::Process process_{world_};
  FakeSession session_;
  simulation::CollectingIncidents incidents_;
  SessionMonitor monitor_{process_, session_, incidents_};
};

TEST_F(SessionMonitorTest, ReportsAnExpiryOnceWithItsCodeAndRequestsADump) {
  session_.now = sessions::SessionState::Serving;
  monitor_.start();
  become(sessions::SessionState::Expired);
  ASSERT_EQ(incidents_.all.size(), 2U);
  EXPECT_EQ(incidents_.all[0].event, "session-serving");
  EXPECT_EQ(incidents_.all[1].event, "session-lapsed");
  EXPECT_EQ(incidents_.all[1].code, base::ResultCode::SessionLapsed);
  EXPECT_TRUE(incidents_.all[1].dumps_ring);
}

TEST_F(SessionMonitorTest, ReportsWhenTheFrontServesAgain) {
  session_.now = sessions::SessionState::Serving;
  monitor_.start();
  become(sessions::SessionState::Expired);
  become(sessions::SessionState::Serving);
  ASSERT_EQ(incidents_.all.size(), 3U);
  EXPECT_EQ(incidents_.all[2].event, "session-serving");
  EXPECT_EQ(incidents_.all[2].severity, base::Severity::Notice);
  EXPECT_FALSE(incidents_.all[2].dumps_ring);
}

TEST_F(SessionMonitorTest, FrontThatStartsWithoutASessionHasNotExpired) {
  session_.now = sessions::SessionState::Expired;
  monitor_.start();
  world_.runFor(std::chrono::seconds(5));
  EXPECT_TRUE(incidents_.all.empty());
}

TEST_F(SessionMonitorTest, ReportsNothingOnceStopped) {
  session_.now = sessions::SessionState::Serving;
  monitor_.start();
  monitor_.stop();
  become(sessions::SessionState::Expired);
  EXPECT_EQ(incidents_.all.size(), 1U);
}

}  // namespace
}  // namespace switchsaddle::front
