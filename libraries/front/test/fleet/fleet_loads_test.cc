// The requests that fronts have in flight at workers, as complete simulated nodes report them to
// the cores.

#include "fleet/simulated_fleet.h"

namespace switchsaddle::front {
namespace {

using std::chrono::milliseconds;

/** More workers than a front includes in its reports of health. */
constexpr int WorkersPerPool = 24;
constexpr int Streams = 60;

class FleetLoadsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  static std::string configurationOfManySlots() {
    std::string text = fullConfiguration();
    const std::string few = "\"slots\": 10";
    text.replace(text.find(few), few.size(), "\"slots\": 1000");
    return text;
  }
  void beginStreams() {
    for (int stream = 0; stream < Streams; ++stream) {
      auto writer = std::make_shared<CallerWriter>();
      fleet.fronts[stream % Fronts]->node().service().enqueue(
          {"POST",
           "/v1/chat/completions",
           {{"Authorization", "Bearer secret"}},
           R"({"model":"large","stream":true,"messages":[{"role":"user","content":"hi"}]})"},
          writer);
      fleet.world.runFor(milliseconds(20));
    }
  }
  std::size_t dispatchedBy(int front) const {
    return static_cast<const FakeWorkers&>(*fleet.fronts[front]->workers).sent.size();
  }
  /** Requests at all workers, as reported to a core. */
  std::uint32_t requestsReportedTo(int core) const {
    const core::CoreNode& node = fleet.cores[core]->incarnation->node;
    std::uint32_t requests = 0;
    for (const auto& [id, worker] : node.workers().snapshot()->workers) {
      requests += node.requestsOn(id);
    }
    return requests;
  }

  /** Workers that accept every request and respond to none. */
  Fleet fleet{
      GetParam(),
      [](simulation::World&, simulation::Process&) { return std::make_unique<FakeWorkers>(); },
      WorkersPerPool};
};

TEST_P(FleetLoadsTest, EveryCoreReceivesTheRequestsInFlightAtEveryWorker) {
  ASSERT_TRUE(fleet.allReady());
  ASSERT_EQ(fleet.change(0, configurationOfManySlots()), 200);
  beginStreams();
  fleet.world.runFor(milliseconds(600));
  const std::size_t in_flight = dispatchedBy(0) + dispatchedBy(1);
  ASSERT_EQ(in_flight, static_cast<std::size_t>(Streams));
  for (int core = 0; core < Cores; ++core) {
    EXPECT_EQ(requestsReportedTo(core), in_flight);
  }
}

TEST_P(FleetLoadsTest, LoadsOfAKilledFrontExpire) {
  ASSERT_TRUE(fleet.allReady());
  ASSERT_EQ(fleet.change(0, configurationOfManySlots()), 200);
  beginStreams();
  fleet.world.runFor(milliseconds(600));
  const std::size_t of_live_front = dispatchedBy(1);
  fleet.fronts[0]->kill();
  fleet.world.runFor(milliseconds(2'500));
  for (int core = 0; core < Cores; ++core) {
    EXPECT_EQ(requestsReportedTo(core), of_live_front);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetLoadsTest, testing::Range<std::uint64_t>(1, 11));

}  // namespace
}  // namespace switchsaddle::front
