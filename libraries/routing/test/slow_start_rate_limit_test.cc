// Tests the router with a configured rate limit for workers that are warming up.

#include <gtest/gtest.h>

#include "learned_router_fixture.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

class SlowStartRateLimitTest : public LearnedRouterTest {
 protected:
  /** Placements that fronts with equal views make in one second on a worker that is warming up. */
  int placedInASecond(std::size_t fronts, double per_s) {
    std::vector<base::NodeAddress> addresses;
    for (std::size_t index = 0; index < fronts; ++index) {
      addresses.push_back({"127.0.0.1", static_cast<std::uint16_t>(index + 1)});
    }
    auto view = std::make_shared<configuration::View>();
    configuration::ForwardPool& pool = view->forwarding.pools["llm"];
    pool.models = {"m"};
    pool.slow_start_per_s = per_s;
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    snapshot->revision = 1;
    workers::Worker warming_up{entry("w0"), false, false};
    warming_up.entry.warming_up = true;
    snapshot->workers["w0"] = warming_up;
    std::vector<std::unique_ptr<LearnedRouter>> routers;
    for (const base::NodeAddress& address : addresses) {
      routers.push_back(
          std::make_unique<LearnedRouter>(process_, random_, address, RouterOptions{}));
      routers.back()->setConfiguration(view);
      routers.back()->setWorkers(snapshot);
      routers.back()->setFronts(addresses);
    }
    int placed = 0;
    for (int step = 0; step < 100; ++step) {
      for (const auto& router : routers) {
        const auto placement = router->choose({"m", {}, 100, 100}, route_, {});
        placed += placement ? 1 : 0;
      }
      world_.runFor(milliseconds(10));
    }
    return placed;
  }
};

TEST_F(SlowStartRateLimitTest, AllFrontsTogetherStayWithinTheLimit) {
  for (const std::size_t fronts : {1U, 6U, 87U}) {
    const int placed = placedInASecond(fronts, 10);
    EXPECT_LE(placed, 10) << fronts;
    EXPECT_GE(placed, 2) << fronts;
  }
}

}  // namespace
}  // namespace switchsaddle::routing
