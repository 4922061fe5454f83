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
constexpr int Requests = 6;

/** Operators put workers in maintenance and back in use by requests to any core, while cores are
 * killed and lose power, one at a time. */
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

  /** Restarts the core that is down; if none is, kills one. */
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

  /** Sends the request to one core after the other until it is acknowledged. */
  std::optional<configuration::JsonValue> sendRequest(const std::string& method,
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

  /** Expects every running core to agree on the workers in maintenance within 15 s. */
  void expectInMaintenance(const std::set<std::string>& expected) {
    const auto agreed = [this, &expected] {
      for (const auto& core : fleet.cores) {
        const bool agrees =
            !core->running() || core->node().replica().view()->workers_in_maintenance == expected;
        if (!agrees) {
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

TEST_P(MaintenanceScenarioTest, EachRequestPutsOneWorkerInMaintenanceDespiteFaults) {
  ASSERT_TRUE(fleet.runUntilAllServe(0, seconds(12)));
  ASSERT_TRUE(fleet.commitChange(firstChange(), seconds(10)));
  ASSERT_TRUE(fleet.commitChange(
      R"({"change_id":"tune","base_version":1,"set":{
        "tuning/maintenance-pool-share": 0.4, "tuning/maintenance-zone-workers": 20}})",
      seconds(10)));
  std::set<std::string> in_maintenance;
  std::map<std::string, std::int64_t> versions;
  for (int index = 0; index < Requests; ++index) {
    const std::string worker = nameOf(random.below(Workers));
    if (in_maintenance.contains(worker)) {
      continue;
    }
    const std::string id = "out-" + std::to_string(index);
    const std::string target = "/v1/maintenance/workers/" + worker;
    const auto answer = sendRequest("POST", target, idOf(id));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->textOf("worker"), worker);
    in_maintenance.insert(worker);
    versions[id] = answer->integerOf("version");
    if (random.chance(0.3)) {
      ASSERT_TRUE(sendRequest("DELETE", target + "?change_id=back-" + std::to_string(index), ""));
      in_maintenance.erase(worker);
    }
    // A resent request has the same result, whatever happened in between.
    const auto resent = sendRequest("POST", target, idOf(id));
    ASSERT_TRUE(resent.has_value());
    EXPECT_EQ(resent->integerOf("version"), versions[id]);
  }
  expectInMaintenance(in_maintenance);
  // The maintenance state survives a restart of all cores.
  for (const auto& core : fleet.cores) {
    if (core->running()) {
      core->kill(CrashKind::PowerLoss);
    }
  }
  for (const auto& core : fleet.cores) {
    core->start();
  }
  ASSERT_TRUE(fleet.runUntilAllServe(1, seconds(15)));
  expectInMaintenance(in_maintenance);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MaintenanceScenarioTest, testing::Range<std::uint64_t>(1, 201));

}  // namespace
}  // namespace switchsaddle::scenarios
