#include <gtest/gtest.h>

#include <map>
#include <set>

#include "fakes.h"
#include "one_shot/faulty_workers.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

constexpr int Seeds = 300;
constexpr int Fronts = 2;
constexpr int Keys = 12;
constexpr int RequestsOfKey = 4;

/** One front process with its own session; shares claims and workers with its peers. */
struct SeedFront {
  SeedFront(simulation::World& world, FakeClaims& claims, FaultyWorkers& workers,
            FakeFleetView& fleet_view)
      : process(world),
        flow(OneShotEnvironment{process, world.random(), claims, slots, session, workers,
                                fleet_view, retries, circuit, counters}) {
    for (int count = 0; count < 1'000; ++count) {
      retries.countFirstAttempt("orders");
    }
  }
  simulation::Process process;
  FakeSlots slots;
  FakeSession session;
  RetryBudget retries{process};
  WorkerCircuit circuit{process};
  Counters counters;
  OneShotFlow flow;
};

/** The outcomes that callers received for one key. */
struct KeyHistory {
  int answers = 0;
  int ran = 0;
  int not_run = 0;
  int runs_when_answered_not_run = 0;
};

class OneShotSeeds : public testing::Test {
 protected:
  void runSeed(std::uint64_t seed) {
    simulation::World world(seed);
    simulation::Process worker_process(world);
    FakeClaims claims;
    RunCounts runs;
    FaultyWorkers workers(world, worker_process, worker_process, runs);
    FakeFleetView fleet_view;
    fleet_view.view.routes["orders"] = configuration::Route{"orders", "orders", {}, "ordinary"};
    fleet_view.addWorker("w1", "ordinary");
    fleet_view.addWorker("w2", "ordinary");
    std::vector<std::unique_ptr<SeedFront>> fronts;
    for (int index = 0; index < Fronts; ++index) {
      fronts.push_back(std::make_unique<SeedFront>(world, claims, workers, fleet_view));
    }
    std::map<std::string, KeyHistory> history;
    for (int index = 0; index < Keys * RequestsOfKey; ++index) {
      const std::string key = "k" + std::to_string(index % Keys);
      SeedFront& front = *fronts[world.random().below(Fronts)];
      world.schedule(std::chrono::milliseconds(world.random().below(20'000)), [&, key] {
        OneShotRequest request;
        request.key_hash = FakeFleetView::KeyHash;
        request.service = "orders";
        request.idempotency_key = key;
        request.deadline = std::chrono::seconds(3);
        front.flow.run(request, [&history, &workers, key](const OneShotAnswer& answer) {
          KeyHistory& counts = history[key];
          ++counts.answers;
          counts.ran += answer.outcome == Outcome::Ran ? 1 : 0;
          counts.not_run += answer.outcome == Outcome::NotRun ? 1 : 0;
          counts.runs_when_answered_not_run +=
              answer.outcome == Outcome::NotRun ? workers.runs[key] : 0;
        });
      });
    }
    injectFaults(world, claims, fronts);
    world.runFor(std::chrono::seconds(60));
    for (auto& [key, counts] : history) {
      EXPECT_LE(workers.runs[key], 1) << key << " ran twice";
      EXPECT_EQ(counts.answers, RequestsOfKey) << key;
      EXPECT_EQ(counts.runs_when_answered_not_run, 0)
          << key << " was answered not-run after it ran";
      EXPECT_TRUE(counts.ran == 0 || workers.runs[key] == 1)
          << key << " was answered ran without a run";
      answered_ran += counts.ran;
      answered_not_run += counts.not_run;
      keys_run += workers.runs[key];
    }
  }

  /** Injects random faults: sessions expire and are renewed, the core's replies fail. */
  void injectFaults(simulation::World& world, FakeClaims& claims,
                    std::vector<std::unique_ptr<SeedFront>>& fronts) {
    for (int second = 0; second < 25; ++second) {
      world.schedule(std::chrono::seconds(second), [&] {
        claims.begins_available = !world.random().chance(0.15);
        claims.finishes_available = !world.random().chance(0.15);
        for (const auto& front : fronts) {
          front->session.now = world.random().chance(0.2) ? sessions::SessionState::Expired
                                                          : sessions::SessionState::Serving;
        }
      });
    }
  }

  int answered_ran = 0;
  int answered_not_run = 0;
  int keys_run = 0;
};

TEST_F(OneShotSeeds, NoKeyRunsTwiceAndNoKeyThatRanIsAnsweredNotRun) {
  for (std::uint64_t seed = 1; seed <= Seeds && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    runSeed(seed);
  }
  // The scenario must produce the outcomes that it checks.
  EXPECT_GT(answered_ran, Seeds);
  EXPECT_GT(answered_not_run, Seeds);
  EXPECT_GT(keys_run, Seeds);
  RecordProperty("told_ran", answered_ran);
  RecordProperty("told_not_run", answered_not_run);
}

}  // namespace
}  // namespace switchsaddle::front
