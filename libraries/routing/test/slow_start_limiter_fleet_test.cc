#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* ReturnedWorker = "cold";
constexpr base::Duration StreamTime = milliseconds(50);
constexpr base::Duration SlowStartWindow = seconds(2);

/** A fleet's size and load. */
struct FleetSize {
  std::size_t fronts = 0;
  std::size_t workers = 0;
  double streams_per_s = 0;
  /** Whether any arm was measured before the worker returns; if not, the best prior is chosen. */
  bool measured = true;

  friend void PrintTo(const FleetSize& size, std::ostream* out) {
    *out << size.fronts << " fronts, " << size.workers << " workers, "
         << (size.measured ? "measured" : "unmeasured");
  }
};

/**
 * Fronts that serve one model and do not communicate. Streams are very short, which is the worst
 * case for a limit on streams in flight.
 */
class SlowStartLimiterFleetTest : public testing::TestWithParam<FleetSize> {
 protected:
  struct Front {
    Front(simulation::World& world, std::size_t number)
        : process(world),
          random(1'000 + number),
          router(process, random, addressOf(number), options()) {}
    simulation::Process process;
    base::RandomSource random;
    LearnedRouter router;
  };

  static base::NodeAddress addressOf(std::size_t number) {
    return base::NodeAddress{"127.0.0.1", static_cast<std::uint16_t>(20'000 + number)};
  }

  static RouterOptions options() {
    RouterOptions options;
    options.prefix_chains = 1'024;
    return options;
  }

  void startFleet() {
    auto view = std::make_shared<configuration::View>();
    route_ = configuration::Route{"chat", configuration::CompletionsService, {"m"}, "llm"};
    view->routes["chat"] = route_;
    std::vector<base::NodeAddress> addresses;
    for (std::size_t number = 0; number < GetParam().fronts; ++number) {
      addresses.push_back(addressOf(number));
    }
    for (std::size_t number = 0; number < GetParam().fronts; ++number) {
      fronts_.push_back(std::make_unique<Front>(world_, number));
      fronts_.back()->router.setConfiguration(view);
      fronts_.back()->router.setFronts(addresses);
    }
    for (std::size_t index = 1; index < GetParam().workers; ++index) {
      addWorker("worker-" + std::to_string(index));
    }
    publish();
  }

  void addWorker(const std::string& id) {
    workers::Worker worker;
    worker.entry.id = id;
    worker.entry.models = {"m"};
    worker.entry.service = "llm";
    worker.entry.slots = 16;
    worker.entry.instance = 1;
    snapshot_.workers[id] = worker;
  }

  void publish() {
    ++snapshot_.revision;
    const auto snapshot = std::make_shared<workers::WorkerSnapshot>(snapshot_);
    for (const auto& front : fronts_) {
      front->router.setWorkers(snapshot);
    }
  }

  void placeOne(Front& front) {
    const std::string family = std::to_string(world_.random().below(200));
    const Prompt prompt{"m", {{"family-" + family, 3'000}}, 3'200, 100};
    const auto placement = front.router.choose(prompt, route_, {});
    ASSERT_TRUE(placement);
    placed_on_watched_ += placement->arm == watched_worker_ ? 1 : 0;
    world_.schedule(StreamTime, [&front, ticket = placement->ticket] {
      Completion completion;
      completion.ticket = ticket;
      completion.output_tokens = 100;
      completion.uncached_tokens = 200;
      completion.time_to_first_token = milliseconds(20);
      completion.total = StreamTime;
      front.router.complete(completion);
    });
  }

  void loadFor(base::Duration time) {
    const double seconds_per_prompt = 1.0 / GetParam().streams_per_s;
    const auto gap = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(seconds_per_prompt));
    const base::TimePoint end = world_.now() + time;
    for (std::size_t number = 0; world_.now() + gap < end; ++number) {
      world_.runFor(gap);
      placeOne(*fronts_[world_.random().below(fronts_.size())]);
    }
  }

  double fairShare() const {
    const double window_s = std::chrono::duration<double>(SlowStartWindow).count();
    return GetParam().streams_per_s * window_s / static_cast<double>(GetParam().workers);
  }

  simulation::World world_{11};
  configuration::Route route_;
  workers::WorkerSnapshot snapshot_;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::string watched_worker_ = ReturnedWorker;
  int placed_on_watched_ = 0;
};

TEST_P(SlowStartLimiterFleetTest, AReturnedWorkerGetsAtMostItsFairShareFromAllFronts) {
  startFleet();
  world_.runFor(seconds(20));
  if (GetParam().measured) {
    loadFor(seconds(4));
  }
  addWorker(ReturnedWorker);
  publish();
  loadFor(SlowStartWindow);
  EXPECT_LE(placed_on_watched_, fairShare());
  EXPECT_LE(placed_on_watched_, SlowStartLimiter::MaximumInFirstTwoSeconds);
  loadFor(seconds(10));
  EXPECT_GE(placed_on_watched_, 8) << "the worker was never used";
}

TEST_P(SlowStartLimiterFleetTest, ScoresOfAFormerInstanceDoNotEndSlowStart) {
  startFleet();
  world_.runFor(seconds(20));
  loadFor(seconds(4));
  const std::string returning = "worker-1";
  snapshot_.workers[returning].unreachable = true;
  publish();
  loadFor(seconds(1));
  addWorker(returning);
  snapshot_.workers[returning].entry.instance = 2;
  publish();
  watched_worker_ = returning;
  placed_on_watched_ = 0;
  // Each front receives the scores of the one before it, the most that dissemination could bring.
  for (int half_second = 0; half_second < 4; ++half_second) {
    loadFor(milliseconds(500));
    for (std::size_t front = 0; front + 1 < fronts_.size(); ++front) {
      fronts_[front + 1]->router.importScores(fronts_[front]->router.exportScores());
    }
  }
  EXPECT_LE(placed_on_watched_, fairShare());
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartLimiterFleetTest,
                         testing::Values(FleetSize{6, 9, 35, true}, FleetSize{6, 9, 35, false},
                                         FleetSize{8, 12, 60, true}, FleetSize{8, 12, 60, false},
                                         FleetSize{360, 233, 1'167, true},
                                         FleetSize{360, 233, 1'167, false}));

}  // namespace
}  // namespace switchsaddle::routing
