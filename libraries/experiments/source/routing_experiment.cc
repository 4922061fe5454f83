#include "routing_experiment.h"

#include "fleet_model.h"

namespace switchsaddle::experiments {

namespace {

base::Duration secondsSetting(const Settings& settings, const std::string& name) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(settings.number(name)));
}

std::uint32_t countSetting(const Settings& settings, const std::string& name) {
  return static_cast<std::uint32_t>(settings.number(name));
}

FleetSettings fleetSettings(const Settings& settings) {
  FleetSettings fleet;
  fleet.policy = settings.text("policy");
  fleet.fronts = countSetting(settings, "fronts");
  fleet.workers = countSetting(settings, "workers");
  fleet.streams_per_s = settings.number("streams_per_s");
  fleet.models = countSetting(settings, "models");
  fleet.families_per_worker = countSetting(settings, "families_per_worker");
  fleet.zipf_exponent = settings.number("zipf_exponent");
  fleet.cache_tokens = countSetting(settings, "cache_tokens");
  fleet.speed_spread = settings.number("speed_spread");
  fleet.warm_up = secondsSetting(settings, "warm_up_s");
  fleet.duration = secondsSetting(settings, "duration_s");
  fleet.share_scores = fleet.policy != "no-score-sharing" && fleet.policy != "adr-0021";
  fleet.churn = settings.number("churn") > 0;
  fleet.explore_share = settings.number("explore_share");
  return fleet;
}

}  // namespace

std::vector<Setting> RoutingExperiment::defaults() const {
  return {{"policy", "ours"},      {"fronts", "6"},
          {"workers", "9"},        {"streams_per_s", "35"},
          {"models", "1"},         {"families_per_worker", "20"},
          {"zipf_exponent", "1"},  {"cache_tokens", "200000"},
          {"speed_spread", "0.3"}, {"warm_up_s", "30"},
          {"duration_s", "100"},   {"churn", "1"},
          {"explore_share", "0.3"}};
}

std::vector<Measure> RoutingExperiment::run(const Settings& settings, std::uint64_t seed) const {
  return FleetModel(fleetSettings(settings), seed).run();
}

}  // namespace switchsaddle::experiments
