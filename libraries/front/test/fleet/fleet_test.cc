#include "fleet/simulated_fleet.h"

namespace switchsaddle::front {
namespace {

constexpr std::uint64_t Seeds = 20;

class FleetTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetTest, ServesAndKeepsItsConfigurationAfterTheFailureOfACore) {
  Fleet fleet(GetParam(), [](simulation::World&, simulation::Process& process) {
    return std::make_unique<PromptWorkers>(process);
  });
  ASSERT_TRUE(fleet.allReady());
  ASSERT_EQ(fleet.change(0, fullConfiguration()), 200);
  const auto stream = fleet.stream(1);
  EXPECT_EQ(stream->response->status, 200) << stream->response->body;
  EXPECT_TRUE(stream->chunks.ends_with("id: 1\ndata: [DONE]\n\n")) << stream->chunks;
  const auto ran = fleet.oneShot(0, "order-1");
  EXPECT_EQ(ran->response->body, R"({"outcome":"ran","replayed":false,"answer":1})");
  // Another front replays the recorded answer.
  const auto again = fleet.oneShot(1, "order-1");
  EXPECT_EQ(again->response->body, R"({"outcome":"ran","replayed":true,"answer":1})");

  fleet.cores[0]->kill();
  fleet.world.runFor(std::chrono::seconds(6));
  ASSERT_TRUE(fleet.allReady());
  EXPECT_EQ(fleet.stream(0)->response->status, 200);
  EXPECT_EQ(fleet.oneShot(0, "order-1")->response->body,
            R"({"outcome":"ran","replayed":true,"answer":1})");
  ASSERT_EQ(fleet.change(1, R"({"change_id":"c2","base_version":1,"remove":["keys/k"]})"), 200);
  for (int front = 0; front < Fronts; ++front) {
    EXPECT_EQ(fleet.stream(front)->response->status, 401);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetTest, testing::Range<std::uint64_t>(1, Seeds + 1));

}  // namespace
}  // namespace switchsaddle::front
