#include <algorithm>

#include "object_reader.h"
#include "switchsaddle/configuration/settings.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;
using Faults = std::vector<Fault>;

void checkHashes(const Settings& settings, Faults& faults) {
  for (std::size_t index = 0; index < settings.operator_hashes.size(); ++index) {
    if (!isSha256(settings.operator_hashes[index])) {
      faults.push_back({"operator_hashes[" + std::to_string(index) + "]", ResultCode::InvalidValue,
                        "must be a SHA-256 of 64 lower-case hexadecimal digits"});
    }
  }
}

void checkZoneName(const std::string& path, const std::string& name, Faults& faults) {
  if (!name.empty() && !isName(name)) {
    faults.push_back({path, ResultCode::InvalidValue,
                      "must be a name of 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"});
  }
}

void checkUnique(const std::string& path, const std::vector<base::NodeAddress>& addresses,
                 Faults& faults) {
  for (std::size_t index = 0; index < addresses.size(); ++index) {
    const auto end = addresses.begin() + static_cast<std::ptrdiff_t>(index);
    if (!addresses[index].empty() && std::find(addresses.begin(), end, addresses[index]) != end) {
      faults.push_back({path + "[" + std::to_string(index) + "]", ResultCode::InvalidValue,
                        "occurs more than once in the list"});
    }
  }
}

void checkTimes(const TimeSettings& times, Faults& faults) {
  if (times.session_front_limit >= times.session_core_limit) {
    // The front must stop serving before the core considers its session expired.
    faults.push_back({"times.session_front_limit_ms", ResultCode::InvalidValue,
                      "must be below session_core_limit_ms"});
  }
  if (times.session_renewal * 2 > times.session_front_limit) {
    faults.push_back({"times.session_renewal_ms", ResultCode::InvalidValue,
                      "must be at most half of session_front_limit_ms"});
  }
}

void requireText(const std::string& path, bool is_missing, Faults& faults) {
  if (is_missing) {
    faults.push_back({path, ResultCode::MissingField, "is missing"});
  }
}

}  // namespace

std::vector<Fault> checkSettings(const Settings& settings, const std::string& role) {
  std::vector<Fault> faults;
  const bool is_core = role == "core";
  if (!is_core && role != "front") {
    faults.push_back({"role", ResultCode::InvalidValue, "must be \"front\" or \"core\""});
  }
  requireText("peer_address", settings.peer_address.empty(), faults);
  requireText("http_address", settings.http_address.empty(), faults);
  requireText("zone", settings.zone.empty(), faults);
  requireText("seeds", settings.seeds.empty(), faults);
  requireText("data_folder", is_core && settings.data_folder.empty(), faults);
  if (!settings.peer_address.empty() && settings.peer_address == settings.http_address) {
    faults.push_back({"http_address", ResultCode::InvalidValue, "must differ from peer_address"});
  }
  checkZoneName("zone", settings.zone, faults);
  checkZoneName("region", settings.region, faults);
  checkHashes(settings, faults);
  checkUnique("seeds", settings.seeds, faults);
  checkUnique("initial_cores", settings.initial_cores, faults);
  checkTimes(settings.times, faults);
  return faults;
}

}  // namespace switchsaddle::configuration
