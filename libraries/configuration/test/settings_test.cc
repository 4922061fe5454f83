#include "switchsaddle/configuration/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace switchsaddle::configuration::test {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

std::vector<std::string> faultNames(const std::vector<Fault>& faults) {
  std::vector<std::string> names;
  for (const Fault& fault : faults) {
    names.push_back(fault.path + " " + std::string(base::describe(fault.code).name));
  }
  return names;
}

std::vector<std::string> parseFaults(const std::string& text) {
  std::vector<Fault> faults;
  parseSettings(text, faults);
  return faultNames(faults);
}

Settings validSettings() {
  std::vector<Fault> faults;
  return parseSettings(R"({
      // Comments are accepted in files.
      "peer_address": "127.0.0.1:7000", "http_address": "127.0.0.1:8000", "zone": "north",
      "data_folder": "data", "seeds": ["127.0.0.2:7000", "127.0.0.3:7000"],
      "platform_address": "127.0.0.9:9000", "times": {"gossip_interval_ms": 500}
    })",
                       faults);
}

TEST(SettingsTest, ReadsEveryField) {
  const Settings settings = validSettings();
  EXPECT_EQ(settings.peer_address.toString(), "127.0.0.1:7000");
  EXPECT_EQ(settings.seeds.size(), 2);
  EXPECT_EQ(settings.times.gossip_interval, std::chrono::milliseconds(500));
  EXPECT_EQ(settings.times.platform_poll, TimeSettings{}.platform_poll);
  EXPECT_THAT(faultNames(checkSettings(settings, "core")), IsEmpty());
  EXPECT_THAT(faultNames(checkSettings(settings, "front")), IsEmpty());
}

TEST(SettingsTest, ReportsFaultsOfTheText) {
  EXPECT_THAT(parseFaults("{} x"), ElementsAre(" MalformedJson"));
  EXPECT_THAT(parseFaults("[]"), ElementsAre(" InvalidValue"));
  EXPECT_THAT(parseFaults(R"({"zone": "a", "zone": "b"})"), ElementsAre("zone InvalidValue"));
  EXPECT_THAT(parseFaults(R"({"peer_address": "host:1", "http_address": 5, "seeds": ["1", 2],
                              "zone": 1, "times": {"x": 1, "session_renewal_ms": 0}, "y": 1})"),
              ElementsAre("peer_address InvalidAddress", "http_address InvalidValue",
                          "zone InvalidValue", "seeds[1] InvalidValue", "seeds[0] InvalidAddress",
                          "times.session_renewal_ms InvalidValue", "times.x UnknownField",
                          "y UnknownField"));
  EXPECT_THAT(parseFaults(R"({"times": 1})"), ElementsAre("times InvalidValue"));
  EXPECT_THAT(parseFaults(std::string(300'000, ' ')), ElementsAre(" BodyTooLarge"));
}

TEST(SettingsTest, ReportsFaultsForARole) {
  EXPECT_THAT(faultNames(checkSettings(Settings{}, "core")),
              ElementsAre("peer_address MissingField", "http_address MissingField",
                          "zone MissingField", "seeds MissingField", "data_folder MissingField"));
  Settings settings = validSettings();
  settings.http_address = settings.peer_address;
  settings.zone = "North";
  settings.operator_hashes = {"12"};
  settings.seeds.push_back(settings.seeds.front());
  settings.times.session_core_limit = settings.times.session_front_limit;
  settings.times.session_renewal = std::chrono::milliseconds(501);
  EXPECT_THAT(faultNames(checkSettings(settings, "worker")),
              ElementsAre("role InvalidValue", "http_address InvalidValue", "zone InvalidValue",
                          "operator_hashes[0] InvalidValue", "seeds[2] InvalidValue",
                          "times.session_front_limit_ms InvalidValue",
                          "times.session_renewal_ms InvalidValue"));
}

TEST(SettingsTest, ReadsDeploymentFields) {
  std::vector<Fault> faults;
  const Settings settings = parseSettings(R"({
      "peer_address": "10.1.0.1:7500", "http_address": "10.1.0.1:8000", "zone": "north",
      "readiness_address": "10.1.0.1:8001", "seeds": ["10.1.0.2:8367", "10.1.0.3:8367"],
      "fleet_peer_port": 7500, "first_start": true, "dialect": "platform",
      "lapsed_session": "serve", "list_before_lease": true,
      "forwarding": {"retry_share": 0.2, "retry_extra": 52, "quota_window_s": 8,
                     "quota_overshoot": 0.1, "quota_slack": 140000},
      "limits": {"memory_mb": 160.5, "descriptors": 4100},
      "times": {"process_grace_s": 8, "stop_notice_ms": 2700}
    })",
                                          faults);
  EXPECT_THAT(faultNames(faults), IsEmpty());
  EXPECT_EQ(settings.seeds.front().toString(), "10.1.0.2:7500");
  EXPECT_EQ(settings.initial_cores, settings.seeds);
  EXPECT_EQ(settings.lapsed_session, ExpiredSessionPolicy::Serve);
  EXPECT_EQ(settings.readiness_address.port, 8001);
  EXPECT_EQ(settings.times.stop_deadline, std::chrono::milliseconds(6'500));
  EXPECT_EQ(settings.times.stop_notice, std::chrono::milliseconds(2'700));
  EXPECT_DOUBLE_EQ(settings.forwarding.quotas.slack, 140'000);
  EXPECT_EQ(settings.limits.memory_mb, 160U);
  EXPECT_EQ(settings.limits.descriptors, 4'100U);
  EXPECT_THAT(parseFaults(R"({"lapsed_session": "maybe", "forwarding": {"retry_share": -1, "x": 1},
                              "fleet_peer_port": 70000, "limits": {"memory_mb": 0, "y": 1}})"),
              ElementsAre("fleet_peer_port InvalidValue", "lapsed_session InvalidValue",
                          "forwarding.retry_share InvalidValue", "forwarding.x UnknownField",
                          "limits.memory_mb InvalidValue", "limits.y UnknownField"));
}

TEST(SettingsTest, NullAndEmptyValuesCountAsUnset) {
  std::vector<Fault> faults;
  const Settings settings = parseSettings(R"({
      "peer_address": "10.1.0.1:7500", "http_address": "10.1.0.1:8000", "zone": "north",
      "region": null, "platform_address": "", "readiness_address": null, "seeds": ["10.1.0.2:1"],
      "first_start": null, "tolerated_core_losses": null, "tolerated_zone_losses": 1, "tolerated_region_losses": 2,
      "forwarding": {"retry_share": null, "retry_extra": 0, "quota_window_s": null},
      "limits": {"memory_mb": null, "descriptors": null}, "times": {"process_grace_s": null}
    })",
                                          faults);
  EXPECT_THAT(faultNames(faults), IsEmpty());
  EXPECT_TRUE(settings.platform_address.empty());
  EXPECT_EQ(settings.tolerated_core_losses, 0);
  EXPECT_EQ(settings.tolerated_zone_losses, 1);
  EXPECT_EQ(settings.tolerated_region_losses, 2);
  EXPECT_DOUBLE_EQ(settings.forwarding.retry_share, ForwardingSettings{}.retry_share);
  EXPECT_EQ(settings.times.stop_deadline, TimeSettings{}.stop_deadline);
  EXPECT_EQ(settings.limits, ResourceSettings{});
  EXPECT_THAT(parseFaults(R"({"unknown": 1, "zone": null})"), ElementsAre("unknown UnknownField"));
}

TEST(SettingsTest, NamesChangedSettingsThatNeedARestart) {
  Settings before;
  before.zone = "north";
  Settings after = before;
  after.seeds.push_back({"127.0.0.1", 1});
  EXPECT_TRUE(settingsThatNeedRestart(before, after).empty());
  after.zone = "south";
  after.times.platform_poll = std::chrono::milliseconds(1);
  after.forwarding.quotas.slack = 7;
  after.limits.memory_mb = 64;
  EXPECT_EQ(settingsThatNeedRestart(before, after),
            (std::vector<std::string>{"zone", "times", "forwarding", "limits"}));
}

}  // namespace
}  // namespace switchsaddle::configuration::test
