#include "switchsaddle/configuration/settings.h"

namespace switchsaddle::configuration {

std::vector<std::string> settingsThatNeedRestart(const Settings& before, const Settings& after) {
  std::vector<std::string> names;
  const auto compare = [&](const char* name, const auto& member) {
    if (before.*member != after.*member) {
      names.emplace_back(name);
    }
  };
  compare("peer_address", &Settings::peer_address);
  compare("http_address", &Settings::http_address);
  compare("readiness_address", &Settings::readiness_address);
  compare("platform_address", &Settings::platform_address);
  compare("fleet_peer_port", &Settings::fleet_peer_port);
  compare("zone", &Settings::zone);
  compare("region", &Settings::region);
  compare("data_folder", &Settings::data_folder);
  compare("operator_hashes", &Settings::operator_hashes);
  compare("dialect", &Settings::dialect);
  compare("lapsed_session", &Settings::lapsed_session);
  compare("tolerated_core_losses", &Settings::tolerated_core_losses);
  compare("tolerated_zone_losses", &Settings::tolerated_zone_losses);
  compare("tolerated_region_losses", &Settings::tolerated_region_losses);
  compare("list_before_lease", &Settings::list_before_lease);
  compare("times", &Settings::times);
  compare("forwarding", &Settings::forwarding);
  compare("limits", &Settings::limits);
  return names;
}

}  // namespace switchsaddle::configuration
