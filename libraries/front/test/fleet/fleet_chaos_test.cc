#include "fleet/simulated_fleet.h"
#include "one_shot/faulty_workers.h"

namespace switchsaddle::front {
namespace {

constexpr std::uint64_t Seeds = 20;
constexpr int Keys = 10;
constexpr int RequestsOfKey = 4;
constexpr int FaultRounds = 80;

/** A fleet with random partitions, message losses, frozen fronts and failing workers. */
class FleetChaos : public testing::TestWithParam<std::uint64_t> {
 protected:
  void scheduleRequests(Fleet& fleet) {
    for (int index = 0; index < Keys * RequestsOfKey; ++index) {
      const std::string key = "k" + std::to_string(index % Keys);
      const std::uint64_t front = fleet.world.random().below(Fronts);
      fleet.world.schedule(std::chrono::milliseconds(fleet.world.random().below(20'000)),
                           [this, &fleet, key, front] { request(fleet, key, front); });
    }
  }

  void request(Fleet& fleet, const std::string& key, std::uint64_t front) {
    auto writer = std::make_shared<CallerWriter>();
    writers[key].push_back(writer);
    writer->answered = [this, key](const http::Response& response) {
      const bool not_run = response.body.find("\"not-run\"") != std::string::npos;
      EXPECT_FALSE(not_run && runs[key] > 0) << key << " was answered not-run after it ran";
      answered_not_run += not_run ? 1 : 0;
      answered_ran += response.body.find("\"ran\"") != std::string::npos ? 1 : 0;
    };
    fleet.fronts[front]->node().service().enqueue(
        {"POST",
         "/v1/one-shots",
         {{"Idempotency-Key", key}, {"Authorization", "Bearer secret"}},
         R"({"service":"orders","payload":1})"},
        writer);
  }

  void scheduleFaults(Fleet& fleet) {
    for (int round = 0; round < FaultRounds; ++round) {
      fleet.world.schedule(std::chrono::milliseconds(250 * round),
                           [&fleet] { injectFault(fleet); });
    }
    fleet.world.schedule(std::chrono::seconds(21), [&fleet] {
      fleet.network.healAll();
      fleet.network.conditions.loss = 0;
      for (const auto& front : fleet.fronts) {
        front->process.wake();
      }
    });
  }

  static void injectFault(Fleet& fleet) {
    base::RandomSource& random = fleet.world.random();
    FrontProcess& front = *fleet.fronts[random.below(Fronts)];
    switch (random.below(6)) {
      case 0:
        fleet.network.cut(front.settings.peer_address,
                          coreAddress(static_cast<int>(random.below(Cores))));
        break;
      case 1:
        front.process.freeze();
        break;
      case 2:
        fleet.network.conditions.loss = 0.2 * random.uniform();
        break;
      case 3:
        fleet.network.healAll();
        break;
      default:
        front.process.wake();
        break;
    }
  }

  RunCounts runs;
  std::map<std::string, std::vector<std::shared_ptr<CallerWriter>>> writers;
  int answered_ran = 0;
  int answered_not_run = 0;
};

TEST_P(FleetChaos, NoOneShotRunsTwiceAndNotRunIsCorrect) {
  std::unique_ptr<simulation::Process> worker;
  Fleet fleet(GetParam(), [&](simulation::World& world, simulation::Process& front) {
    if (!worker) {
      worker = std::make_unique<simulation::Process>(world);
    }
    return std::make_unique<FaultyWorkers>(world, *worker, front, runs);
  });
  ASSERT_TRUE(fleet.allReady());
  ASSERT_EQ(fleet.change(0, fullConfiguration()), 200);
  scheduleRequests(fleet);
  scheduleFaults(fleet);
  fleet.world.runFor(std::chrono::seconds(90));
  int keys_run = 0;
  for (const auto& [key, count] : runs) {
    EXPECT_LE(count, 1) << key << " ran twice";
    keys_run += count;
  }
  for (const auto& [key, of_key] : writers) {
    for (const auto& writer : of_key) {
      EXPECT_TRUE(writer->response) << key << " was never answered";
    }
  }
  // The scenario must cause the situations that it checks.
  EXPECT_GT(keys_run, 0);
  EXPECT_GT(answered_ran, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetChaos, testing::Range<std::uint64_t>(1, Seeds + 1));

}  // namespace
}  // namespace switchsaddle::front
