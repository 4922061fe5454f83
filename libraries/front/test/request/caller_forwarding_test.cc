#include <gtest/gtest.h>

#include "forward/forward_fixture.h"
#include "switchsaddle/front/request/caller_service.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::front {
namespace {

using configuration::ExpiredSessionPolicy;

/** The HTTP service of a front that forwards requests. */
class CallerForwardingTest : public ForwardFixture {
 protected:
  CallerForwardingTest() : ForwardFixture(RetryAllowance{}) {
    configuration::Forwarding& forwarding = fleet_view.view.forwarding;
    forwarding.pools["shop"].name = "shop";
    configuration::ForwardRoute& route = forwarding.routes["r"];
    route.name = "r";
    route.host = "a.example";
    route.path_prefix = "/metrics/";
    route.kind = configuration::ForwardKind::AtMostOnce;
    route.targets = {{"shop", 1}};
    forwarding.index();
    fleet_view.view.version = 1;
    fleet_view.addWorker("w1", "shop");
    create(ExpiredSessionPolicy::Serve);
  }
  void create(ExpiredSessionPolicy expired_session_policy) {
    service =
        std::make_unique<CallerService>(CallerDependencies{process,
                                                           session,
                                                           fleet_view,
                                                           router,
                                                           streams,
                                                           one_shots,
                                                           control,
                                                           counters,
                                                           {},
                                                           {},
                                                           [] { return std::string("metrics"); },
                                                           {},
                                                           nullptr,
                                                           &flow,
                                                           {},
                                                           expired_session_policy});
  }
  std::uint16_t statusOf(const std::string& target, const std::string& host = "a.example") {
    auto writer = std::make_shared<ForwardWriter>();
    const std::size_t before = port.sent.size();
    service->handle({"GET", target, {{"Host", host}, {"Request-Id", "r-1"}}, ""}, writer);
    if (port.sent.size() > before) {
      port.sent.back().answer(200, "x");
    }
    return writer->response ? writer->response->status : 0;
  }

  simulation::Network network{world};
  std::unique_ptr<transport::Transport> transport = network.attach({"127.0.0.1", 1}, process);
  transport::PeerCalls calls{process, *transport};
  FakeClaims claims;
  FakeSlots slots;
  FakeSession session;
  FakeWorkers workers;
  StreamStages stages;
  StreamFlow streams{StreamEnvironment{process, world.random(), slots, session, router, workers,
                                       fleet_view, retries, circuit, counters, stages}};
  OneShotFlow one_shots{OneShotEnvironment{process, world.random(), claims, slots, session, workers,
                                           fleet_view, retries, circuit, counters}};
  ControlForwarder control{calls, [] { return std::vector<base::NodeAddress>{}; }};
  std::unique_ptr<CallerService> service;
};

TEST_F(CallerForwardingTest, HostWithRoutesServesForwardingOnly) {
  EXPECT_EQ(statusOf("/metrics/x"), 200);
  EXPECT_EQ(port.sent.size(), 1U);
  EXPECT_EQ(statusOf("/metrics"), 404);
  EXPECT_EQ(statusOf("/nowhere/"), 404);
  EXPECT_EQ(statusOf("/metrics", "other"), 200);
  EXPECT_EQ(port.sent.size(), 1U);
}

TEST_F(CallerForwardingTest, FrontWithoutAConfigurationOrWorkersIsNotReady) {
  fleet_view.view = {};
  EXPECT_FALSE(service->ready());
  EXPECT_EQ(statusOf("/metrics/x"), 503);
  EXPECT_EQ(statusOf("/nowhere/"), 503);
  fleet_view.view.version = 1;
  fleet_view.snapshot.workers.clear();
  EXPECT_FALSE(service->ready());
}

TEST_F(CallerForwardingTest, ForwardsWithAnExpiredSessionOnlyIfConfigured) {
  session.now = sessions::SessionState::Expired;
  EXPECT_TRUE(service->ready());
  EXPECT_EQ(statusOf("/metrics/x"), 200);
  create(ExpiredSessionPolicy::Refuse);
  EXPECT_FALSE(service->ready());
  EXPECT_EQ(statusOf("/metrics/x"), 503);
}

TEST_F(CallerForwardingTest, StoppingFrontIsNotReadyAndForwardsUntilForwardingIsStopped) {
  service->stop();
  EXPECT_FALSE(service->ready());
  EXPECT_EQ(statusOf("/readyz", "other"), 503);
  EXPECT_EQ(statusOf("/metrics/x"), 200);
  service->stopForwarding();
  EXPECT_EQ(statusOf("/metrics/x"), 503);
}

}  // namespace
}  // namespace switchsaddle::front
