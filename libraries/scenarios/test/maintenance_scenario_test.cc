#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/maintenance.h"
#include "switchsaddle/scenarios/fleet.h"

namespace switchsaddle::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Workers = 20;
constexpr int Orders = 6;

/** Operators take workers out and back through any core, while cores are killed and
 * lose their power, one at a time. */
class MaintenanceScenarioTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  MaintenanceScenarioTest() {
    for (std::size_t index = 0; index < Workers; ++index) {
      wire::WorkerEntry worker;
      worker.id = nameOf(index);
      worker.address = {"127.0.0.1", static_cast<std::uint16_t>(9'000 + index)};
      worker.models = {"large"};
      worker.service = "models";
      worker.slots = 8;
      fleet.platform.reading.workers.push_back(worker);
    }
  }
  static std::string nameOf(std::size_t index) { return "w" + std::to_string(index); }

  /** Starts the core that is down, or else takes one down. */
  void injectFaultOnAnotherCore() {
    if (!down) {
      SimulatedCore& core = *fleet.cores[random.below(fleet.cores.size())];
      if (core.running()) {
        core.kill(random.chance(0.5) ? CrashKind::Kill : CrashKind::PowerLoss);
        down = &core;
      }
      return;
    }
    down->start();
    down = nullptr;
  }

  /** Sends the order to one core after the other until it is acknowledged. */
  std::optional<configuration::JsonValue> order(const std::string& method,
                                                const std::string& target,
                                                const std::string& body) {
    for (int attempt = 0; attempt < 40; ++attempt) {
      const base::NodeAddress core = fleet.cores[random.below(fleet.cores.size())]->address();
      bool ended = false;
      std::optional<configuration::JsonValue> acknowledged;
      fleet.operators.front()->request(
          core, method, target, body, [&](const std::optional<wire::ControlReply>& reply) {
            ended = true;
            if (reply && reply->status == 200) {
              std::vector<configuration::Fault> faults;
              acknowledged = configuration::parseJson(reply->body, {}, "", faults);
            }
          });
      fleet.world.runFor(milliseconds(random.below(300)));
      if (random.chance(0.4)) {
        injectFaultOnAnotherCore();
      }
      fleet.world.runUntil([&ended] { return ended; }, seconds(6));
      if (acknowledged) {
        return acknowledged;
      }
      fleet.world.runFor(milliseconds(200));
    }
    return std::nullopt;
  }
  static std::string idOf(const std::string& id) { return R"({"change_id":")" + id + R"("})"; }

  /** What every running front believes to be out. */
  void expectOut(const std::set<std::string>& expected) {
    const auto agreed = [this, &expected] {
      for (const auto& core : fleet.cores) {
        const bool knows =
            !core->running() || core->node().replica().view()->workers_in_maintenance == expected;
        if (!knows) {
          return false;
        }
      }
      return true;
    };
    EXPECT_TRUE(fleet.world.runUntil(agreed, seconds(15)));
  }

  Fleet fleet{GetParam(), FleetSize{}};
  base::RandomSource random{GetParam()};
  SimulatedCore* down = nullptr;
};

TEST_P(MaintenanceScenarioTest, EachOrderTakesOutOneWorkerWhateverFails) {
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  ASSERT_TRUE(fleet.commitChange(
      R"({"change_id":"tune","base_version":1,"set":{
        "tuning/maintenance-pool-share": 0.4, "tuning/maintenance-zone-workers": 20}})",
      seconds(10)));
  std::set<std::string> out;
  std::map<std::string, std::int64_t> versions;
  for (int index = 0; index < Orders; ++index) {
    const std::string worker = nameOf(random.below(Workers));
    if (out.contains(worker)) {
      continue;
    }
    const std::string id = "out-" + std::to_string(index);
    const std::string target = "/v1/maintenance/workers/" + worker;
    const auto answer = order("POST", target, idOf(id));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->textOf("worker"), worker);
    out.insert(worker);
    versions[id] = answer->integerOf("version");
    if (random.chance(0.3)) {
      ASSERT_TRUE(order("DELETE", target + "?change_id=back-" + std::to_string(index), ""));
      out.erase(worker);
    }
    // Sent again, whatever has happened since, it is the same order.
    const auto again = order("POST", target, idOf(id));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->integerOf("version"), versions[id]);
  }
  expectOut(out);
  // What was ordered outlasts the loss of all memory.
  for (const auto& core : fleet.cores) {
    if (core->running()) {
      core->kill(CrashKind::PowerLoss);
    }
  }
  for (const auto& core : fleet.cores) {
    core->start();
  }
  ASSERT_TRUE(fleet.runUntilAllServe(1, seconds(15)));
  expectOut(out);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MaintenanceScenarioTest, testing::Range<std::uint64_t>(1, 201));

}  // namespace
}  // namespace switchsaddle::scenarios
