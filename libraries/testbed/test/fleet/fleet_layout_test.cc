#include "switchsaddle/testbed/fleet/fleet_layout.h"

#include <gtest/gtest.h>

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

constexpr const char* Layout = R"({
  "network": "127.41", "operator_key": "secret", "zones": ["a", "b"],
  "cores": {"count": 3}, "fronts": [{"name": "edge", "zone": "b"}],
  "times": {"gossip_interval_ms": 500},
  "workers": [{"prefix": "model-", "count": 2, "service": "completions", "models": ["s", "l"],
               "slots": 4, "arguments": ["--cold-ms", "10"]},
              {"prefix": "cue-", "count": 1, "service": "captions", "zone": "c"}]})";

base::ResultCode codeOf(const std::string& text) {
  try {
    parseFleetLayout(text);
  } catch (const base::Error& error) {
    return error.code();
  }
  return base::ResultCode::Ok;
}

TEST(FleetLayoutTest, AssignsCountedNodesToZonesInRotation) {
  const FleetLayout layout = parseFleetLayout(Layout);
  ASSERT_EQ(layout.cores.size(), 3U);
  EXPECT_EQ(layout.cores[1].zone, "b");
  EXPECT_EQ(layout.cores[2].zone, "a");
  EXPECT_EQ(layout.fronts[0].name, "edge");
  ASSERT_EQ(layout.workers.size(), 3U);
  EXPECT_EQ(layout.workers[1].listed.id, "model-2");
  EXPECT_EQ(layout.workers[2].listed.zone, "c");
  EXPECT_NE(layout.workers[0].listed.address, layout.workers[2].listed.address);
}

TEST(FleetLayoutTest, RejectsInvalidLayouts) {
  EXPECT_EQ(codeOf("["), base::ResultCode::MalformedJson);
  EXPECT_EQ(codeOf("{}"), base::ResultCode::MissingField);
  EXPECT_EQ(codeOf(R"({"operator_key":"k","core":{}})"), base::ResultCode::UnknownField);
  EXPECT_EQ(codeOf(R"({"operator_key":"k","network":"10.1"})"), base::ResultCode::InvalidValue);
  EXPECT_EQ(codeOf(R"({"operator_key":"k","cores":{"count":-1}})"), base::ResultCode::InvalidValue);
  EXPECT_EQ(codeOf(R"({"operator_key":"k","cores":[{"name":"x"}],"fronts":[{"name":"x"}]})"),
            base::ResultCode::InvalidValue);
}

class FleetPlanTest : public testing::Test {
 protected:
  FleetState state_ = planFleet(parseFleetLayout(Layout), "/d", {"lab", "daemon"});
};

TEST_F(FleetPlanTest, OrdersWorkersBeforeCoresAndCoresBeforeFronts) {
  ASSERT_EQ(state_.processes.size(), 8U);
  EXPECT_EQ(state_.processes.front().role, ProcessRole::Platform);
  EXPECT_EQ(state_.processes[4].role, ProcessRole::Core);
  EXPECT_EQ(state_.processes.back().role, ProcessRole::Front);
  EXPECT_EQ(state_.processes.back().command,
            (std::vector<std::string>{"daemon", "front", "--settings", "/d/settings/edge.json"}));
}

TEST_F(FleetPlanTest, StateRoundTrips) {
  state_.processes[4].pid = 77;
  state_.processes[4].start_ticks = 123'456;
  EXPECT_EQ(formatFleetState(parseFleetState(formatFleetState(state_))), formatFleetState(state_));
}

TEST_F(FleetPlanTest, SettingsNameSeedsAndInitialCores) {
  const auto core = parseObject(settingsText(state_, *state_.find("core-1"), "hash"));
  EXPECT_EQ(textListField(core, "initial_cores").size(), 3U);
  EXPECT_EQ(textListField(core, "operator_hashes"), std::vector<std::string>{"hash"});
  EXPECT_EQ(integerField(objectField(core, "times"), "gossip_interval_ms"), 500);
  const auto front = parseObject(settingsText(state_, *state_.find("edge"), "hash"));
  EXPECT_EQ(textListField(front, "seeds").size(), 3U);
  EXPECT_FALSE(front.contains("initial_cores"));
}

TEST_F(FleetPlanTest, GeneratedSettingsAreValid) {
  const std::string hash = configuration::sha256Hex("secret");
  replaceCore(state_, "core-2");
  for (const FleetProcess& process : state_.processes) {
    if (process.data_folder.empty()) {
      continue;
    }
    std::vector<configuration::Fault> faults;
    const auto settings = configuration::parseSettings(settingsText(state_, process, hash), faults);
    EXPECT_TRUE(faults.empty()) << process.name << ": " << faults[0].path;
    const auto rejected = configuration::checkSettings(settings, roleName(process.role));
    EXPECT_TRUE(rejected.empty()) << process.name << ": " << rejected[0].path
                                  << rejected[0].message;
  }
}

TEST_F(FleetPlanTest, AReplacedCoreGetsANewAddressAndFolder) {
  const FleetProcess old = *state_.find("core-2");
  const FleetProcess fresh = replaceCore(state_, "core-2");
  EXPECT_EQ(state_.find("core-2"), nullptr);
  EXPECT_NE(fresh.peer_address, old.peer_address);
  EXPECT_NE(fresh.data_folder, old.data_folder);
  EXPECT_EQ(fresh.zone, old.zone);
  EXPECT_EQ(state_.coreAddresses().size(), 3U);
  const auto settings = parseObject(settingsText(state_, fresh, "hash"));
  EXPECT_FALSE(settings.contains("initial_cores"));
  EXPECT_EQ(textListField(settings, "seeds").size(), 2U);
  EXPECT_THROW(replaceCore(state_, "edge"), base::Error);
}

}  // namespace
}  // namespace switchsaddle::testbed
