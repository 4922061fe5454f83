#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::routing {

/** A router with one pool of workers w0..wN-1 for model "m". */
class LearnedRouterTest : public testing::Test {
 protected:
  LearnedRouterTest() { useConfiguration(); }

  void useConfiguration() {
    auto view = std::make_shared<configuration::View>(view_);
    view->routes["chat"] = configuration::Route{"chat", "completions", {"m"}, "llm"};
    router_.setConfiguration(view);
    route_ = view->routes["chat"];
  }

  wire::WorkerEntry entry(const std::string& id, const std::string& zone = "z1") {
    wire::WorkerEntry worker;
    worker.id = id;
    worker.zone = zone;
    worker.models = {"m"};
    worker.service = "llm";
    worker.slots = 8;
    worker.instance = 1;
    return worker;
  }

  void publish() {
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    snapshot->revision = ++revision_;
    snapshot->workers = workers_;
    router_.setWorkers(snapshot);
  }

  void addWorkers(int count) {
    for (int index = 0; index < count; ++index) {
      const std::string id = "w" + std::to_string(index);
      workers_[id] = workers::Worker{entry(id), false, false};
    }
    publish();
  }

  std::optional<Placement> place(std::vector<std::string> excluded = {},
                                 std::vector<PrefixSegment> segments = {}) {
    Prompt prompt{"m", std::move(segments), 100, 100};
    return router_.choose(prompt, route_, excluded);
  }

  void finish(const Placement& placement, double tokens_per_second, std::uint32_t tokens = 100) {
    Completion completion;
    completion.ticket = placement.ticket;
    completion.output_tokens = tokens;
    completion.uncached_tokens = 100;
    completion.time_to_first_token = std::chrono::milliseconds(10);
    completion.total = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(tokens / tokens_per_second));
    router_.complete(completion);
  }

  const RoutingRow* rowOf(const std::string& arm) {
    rows_ = router_.table("m");
    for (const RoutingRow& row : rows_) {
      if (row.arm == arm) {
        return &row;
      }
    }
    return nullptr;
  }

  simulation::World world_{7};
  simulation::Process process_{world_};
  base::RandomSource random_{7};
  LearnedRouter router_{process_, random_, base::NodeAddress{"127.0.0.1", 1}, RouterOptions{}};
  configuration::View view_;
  configuration::Route route_;
  std::map<std::string, workers::Worker> workers_;
  std::vector<RoutingRow> rows_;
  std::uint64_t revision_ = 0;
};

}  // namespace switchsaddle::routing
