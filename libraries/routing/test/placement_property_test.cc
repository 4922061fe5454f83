#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Seeds = 40;
constexpr int ChangesPerSeed = 30;
constexpr int PromptsPerChange = 20;
constexpr std::size_t Workers = 14;

/** Random snapshots, evacuations, failures and prompts on one router. */
class RandomFleet {
 public:
  explicit RandomFleet(std::uint64_t seed) : world_(seed), random_(seed) {
    RouterOptions options;
    options.prefix_chains = 256;
    router_ = std::make_unique<LearnedRouter>(process_, random_, base::NodeAddress{"127.0.0.1", 1},
                                              options);
    route_ = configuration::Route{"chat", configuration::CompletionsService, {"m"}, "llm"};
  }

  /** Draws a new snapshot, with new instances of some workers, and new evacuations. */
  void change() {
    world_.runFor(milliseconds(world_.random().below(3'000)));
    auto view = std::make_shared<configuration::View>();
    view->routes["chat"] = route_;
    evacuated_ = world_.random().chance(0.3) ? "zone-0" : "";
    if (!evacuated_.empty()) {
      view->evacuated_zones.insert(evacuated_);
    }
    router_->setConfiguration(view);
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    for (std::size_t index = 0; index < Workers; ++index) {
      if (world_.random().chance(0.8)) {
        const workers::Worker worker = drawWorker(index);
        snapshot->workers[worker.entry.id] = worker;
      }
    }
    snapshot_ = snapshot;
    router_->setWorkers(snapshot);
  }

  /** Places one prompt and checks the placement.
   *
   * @return its mode, or std::nullopt if the prompt was not placed. */
  std::optional<SelectionMode> place() {
    std::vector<std::string> excluded;
    if (world_.random().chance(0.3)) {
      excluded.push_back("worker-" + std::to_string(world_.random().below(Workers)));
    }
    const std::string family = "family-" + std::to_string(world_.random().below(20));
    const Prompt prompt{"m", {{"tenant", 100}, {family, 2'000}}, 2'300, 50};
    const auto placement = router_->choose(prompt, route_, excluded);
    if (!placement) {
      return std::nullopt;
    }
    check(placement->prefill.entry.id, wire::WorkerStage::Prefill, placement->decode.has_value(),
          excluded);
    if (placement->decode) {
      check(placement->decode->entry.id, wire::WorkerStage::Decode, true, excluded);
    }
    finish(placement->ticket);
    return placement->mode;
  }

 private:
  workers::Worker drawWorker(std::size_t index) {
    workers::Worker worker;
    worker.entry.id = "worker-" + std::to_string(index);
    worker.entry.zone = "zone-" + std::to_string(index % 3);
    worker.entry.service = world_.random().chance(0.85) ? "llm" : "other";
    worker.entry.models = {world_.random().chance(0.9) ? "m" : "n"};
    const std::array stages{wire::WorkerStage::Both, wire::WorkerStage::Prefill,
                            wire::WorkerStage::Decode};
    worker.entry.stage = stages[index % stages.size()];
    worker.entry.slots = 4;
    worker.entry.instance = 1 + world_.random().below(2);
    worker.draining = world_.random().chance(0.15);
    worker.unreachable = world_.random().chance(0.15);
    return worker;
  }

  void check(const std::string& id, wire::WorkerStage stage, bool pair,
             const std::vector<std::string>& excluded) {
    const auto found = snapshot_->workers.find(id);
    ASSERT_NE(found, snapshot_->workers.end()) << id << " is not listed";
    const workers::Worker& worker = found->second;
    EXPECT_FALSE(worker.draining) << id;
    EXPECT_FALSE(worker.unreachable) << id;
    EXPECT_NE(worker.entry.zone, evacuated_) << id;
    EXPECT_EQ(worker.entry.service, "llm") << id;
    EXPECT_EQ(worker.entry.models.front(), "m") << id;
    EXPECT_EQ(worker.entry.stage, pair ? stage : wire::WorkerStage::Both) << id;
    EXPECT_EQ(std::count(excluded.begin(), excluded.end(), id), 0) << id;
  }

  void finish(std::uint64_t ticket) {
    Completion completion;
    completion.ticket = ticket;
    completion.failed = world_.random().chance(0.05);
    completion.output_tokens = 40;
    completion.uncached_tokens = 300;
    completion.time_to_first_token = milliseconds(40);
    completion.total = milliseconds(700);
    router_->complete(completion);
  }

  simulation::World world_;
  simulation::Process process_{world_};
  base::RandomSource random_;
  std::unique_ptr<LearnedRouter> router_;
  configuration::Route route_;
  workers::WorkerSnapshotPtr snapshot_;
  std::string evacuated_;
};

TEST(PlacementPropertyTest, NoModeChoosesAWorkerThatIsNotUsable) {
  std::set<SelectionMode> seen;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SCOPED_TRACE(seed);
    RandomFleet fleet(seed);
    for (int change = 0; change < ChangesPerSeed; ++change) {
      fleet.change();
      for (int prompt = 0; prompt < PromptsPerChange; ++prompt) {
        if (const auto mode = fleet.place()) {
          seen.insert(*mode);
        }
      }
    }
  }
  EXPECT_EQ(seen.size(), 3U) << "a mode was never chosen";
}

}  // namespace
}  // namespace switchsaddle::routing
