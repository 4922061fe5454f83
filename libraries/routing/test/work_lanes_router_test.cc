// Tests the router with the option work_lanes: kinds of work divided into lanes.

#include <gtest/gtest.h>

#include <set>

#include "learned_router_fixture.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

class WorkLanesRouterTest : public LearnedRouterTest {
 protected:
  WorkLanesRouterTest() {
    RouterOptions options;
    options.work_lanes = true;
    router = std::make_unique<LearnedRouter>(process_, random_, base::NodeAddress{"127.0.0.1", 1},
                                             options);
    auto view = std::make_shared<configuration::View>();
    view->routes["chat"] = route_;
    router->setConfiguration(view);
  }
  std::optional<std::string> placeKind(std::uint32_t tokens,
                                       const std::vector<std::string>& excluded = {}) {
    const auto placement = router->choose({"m", {}, tokens, 100, tokens}, route_, excluded);
    if (!placement) {
      return std::nullopt;
    }
    Completion completion;
    completion.ticket = placement->ticket;
    router->complete(completion);
    return placement->arm;
  }

  std::unique_ptr<LearnedRouter> router;
};

TEST_F(WorkLanesRouterTest, KindsOfLongAndShortPromptsUseDisjointWorkers) {
  addWorkers(9);
  auto snapshot = std::make_shared<workers::WorkerSnapshot>();
  snapshot->revision = 1;
  snapshot->workers = workers_;
  router->setWorkers(snapshot);
  std::set<std::string> for_short;
  std::set<std::string> for_long;
  for (int step = 0; step < 400; ++step) {
    const bool counted = step >= 100;
    for (int prompt = 0; prompt < 20; ++prompt) {
      const auto arm = placeKind(1'000);
      world_.runFor(milliseconds(5));
      if (counted) {
        for_short.insert(*arm);
      }
    }
    const auto arm = placeKind(20'000);
    if (counted) {
      for_long.insert(*arm);
    }
  }
  for (const std::string& arm : for_long) {
    EXPECT_FALSE(for_short.contains(arm)) << arm;
  }
  // Without usable workers in its lane a prompt goes to any other worker.
  const std::vector<std::string> excluded(for_long.begin(), for_long.end());
  EXPECT_TRUE(placeKind(20'000, excluded).has_value());
}

}  // namespace
}  // namespace switchsaddle::routing
