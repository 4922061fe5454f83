// Tests the router with the option fleet_loads: placement by the load of all fronts.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Workers = 24;
constexpr std::uint32_t SharedTokens = 5'000;
constexpr std::uint32_t PromptTokens = 6'000;
/** A backlog longer than the latency target of any prompt. */
constexpr std::uint16_t LongQueueMs = 3'000;

/** One front's router over a pool of workers w0..w23. */
class RoutedFront {
 public:
  explicit RoutedFront(std::uint64_t seed) : world_(seed) {
    auto view = std::make_shared<configuration::View>();
    view->tuning.route_explore_share = 0;
    route_ = configuration::Route{"chat", "completions", {"m"}, "llm"};
    view->routes["chat"] = route_;
    router.setConfiguration(view);
    auto snapshot = std::make_shared<workers::WorkerSnapshot>();
    snapshot->revision = 1;
    for (int index = 0; index < Workers; ++index) {
      wire::WorkerEntry entry;
      entry.id = "w" + std::to_string(index);
      entry.models = {"m"};
      entry.service = "llm";
      entry.slots = 8;
      entry.instance = 1;
      snapshot->workers[entry.id] = workers::Worker{entry, false, false};
    }
    workers = snapshot;
    router.setWorkers(snapshot);
  }

  static Prompt promptOf(const std::string& subject) {
    Prompt prompt{
        "m", {{subject, SharedTokens}, {"own", PromptTokens - SharedTokens}}, PromptTokens, 100};
    prompt.kind = 1;
    prompt.last_segment_private = true;
    return prompt;
  }
  Placement place(const std::string& subject) {
    return *router.choose(promptOf(subject), route_, {});
  }
  void answer(const Placement& placement) {
    router.recordFirstToken(placement.ticket);
    Completion completion;
    completion.ticket = placement.ticket;
    completion.output_tokens = 100;
    completion.uncached_tokens = PromptTokens - placement.cached_tokens;
    completion.time_to_first_token = milliseconds(100);
    completion.total = seconds(1);
    router.complete(completion);
  }
  /** Places and completes one prompt; returns its worker. */
  std::string run(const std::string& subject) {
    const Placement placement = place(subject);
    world_.runFor(milliseconds(100));
    answer(placement);
    return placement.arm;
  }
  void reportPeers(const std::string& worker, std::uint16_t requests, std::uint16_t prefill_ms) {
    const std::uint32_t key = workers::loadKey(workers->workers.at(worker).entry);
    router.importLoads({true, {{key, requests, prefill_ms}}, {}});
  }
  void wait(base::Duration duration) { world_.runFor(duration); }

 private:
  static RouterOptions optionsOf() {
    RouterOptions options;
    options.fleet_loads = true;
    return options;
  }

  simulation::World world_;
  simulation::Process process_{world_};
  configuration::Route route_;

 public:
  workers::WorkerSnapshotPtr workers;
  LearnedRouter router{process_, world_.random(), {"127.0.0.1", 1}, optionsOf()};
};

TEST(FleetLoadsRouterTest, AllFrontsSendAPrefixToOneWorker) {
  std::set<std::string> arms;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RoutedFront front(seed);
    arms.insert(front.run("subject"));
    arms.insert(front.run("subject"));
  }
  EXPECT_EQ(arms.size(), 1U);
}

TEST(FleetLoadsRouterTest, APrefixStaysAtItsHomeWhileItMeetsTheTarget) {
  RoutedFront front(1);
  const std::string home = front.run("subject");
  front.reportPeers(home, 3, 300);
  EXPECT_EQ(front.run("subject"), home);
}

TEST(FleetLoadsRouterTest, AllFrontsOverflowToTheSameWorker) {
  std::set<std::string> next;
  std::string home;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RoutedFront front(seed);
    home = front.run("subject");
    front.reportPeers(home, 3, LongQueueMs);
    next.insert(front.run("subject"));
  }
  EXPECT_EQ(next.size(), 1U);
  EXPECT_THAT(next, testing::Not(testing::Contains(home)));
}

TEST(FleetLoadsRouterTest, UsesTheHomeAfterAReportOfItsBacklogExpires) {
  RoutedFront front(1);
  const std::string home = front.run("subject");
  front.reportPeers(home, 3, LongQueueMs);
  front.wait(PeerLoad::Lifetime);
  EXPECT_EQ(front.run("subject"), home);
}

TEST(FleetLoadsRouterTest, ExportsItsRequestsUntilTheyEnd) {
  RoutedFront front(1);
  EXPECT_THAT(front.router.exportLoads().workers, testing::IsEmpty());
  const Placement placement = front.place("subject");
  const std::vector<wire::WorkerLoad> loads = front.router.exportLoads().workers;
  ASSERT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads[0].worker, workers::loadKey(placement.prefill.entry));
  EXPECT_EQ(loads[0].requests, 1);
  EXPECT_GT(loads[0].prefill_ms, 0);
  front.router.recordFirstToken(placement.ticket);
  EXPECT_EQ(front.router.exportLoads().workers[0].prefill_ms, 0);
  front.answer(placement);
  EXPECT_THAT(front.router.exportLoads().workers, testing::IsEmpty());
}

TEST(FleetLoadsRouterTest, CountsItsOwnPromptsImmediately) {
  RoutedFront front(1);
  std::map<std::string, int> counts;
  for (int prompt = 0; prompt < 60; ++prompt) {
    ++counts[front.place("subject").arm];
  }
  EXPECT_GT(counts.size(), 2U) << "prompts sent at the same time do not all wait for one worker";
}

TEST(FleetLoadsRouterTest, FullSlotsCauseOverflow) {
  RoutedFront front(1);
  const std::string home = front.run("subject");
  front.reportPeers(home, 100, 0);
  EXPECT_NE(front.run("subject"), home);
}

}  // namespace
}  // namespace switchsaddle::routing
