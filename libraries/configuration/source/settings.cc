#include "switchsaddle/configuration/settings.h"

#include <algorithm>
#include <array>

#include "object_reader.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;
using Faults = std::vector<Fault>;

constexpr JsonLimits SettingsLimits{.maximum_bytes = 262'144, .maximum_depth = 4, .comments = true};

/** Losses that a set of acceptors may be asked to bear. */
constexpr std::int64_t MaximumLosses = 10;

/** One time limit of the settings file: its key, range and place. Values are milliseconds. */
struct TimeField {
  const char* name;
  IntegerRange range;
  base::Duration TimeSettings::*member;
};

constexpr std::array TimeFields{
    TimeField{"session_front_limit_ms", {10, 60'000}, &TimeSettings::session_front_limit},
    TimeField{"session_core_limit_ms", {10, 60'000}, &TimeSettings::session_core_limit},
    TimeField{"session_renewal_ms", {1, 60'000}, &TimeSettings::session_renewal},
    TimeField{"core_silence_ms", {1, 60'000}, &TimeSettings::core_timeout},
    TimeField{"lease_duration_ms", {10, 60'000}, &TimeSettings::lease_duration},
    TimeField{"register_deadline_ms", {10, 60'000}, &TimeSettings::register_deadline},
    TimeField{"acknowledgement_deadline_ms", {10, 60'000}, &TimeSettings::acknowledgement_deadline},
    TimeField{"gossip_interval_ms", {10, 60'000}, &TimeSettings::gossip_interval},
    TimeField{"platform_poll_ms", {10, 60'000}, &TimeSettings::platform_poll},
    TimeField{"core_refused_grace_ms", {0, 3'600'000}, &TimeSettings::core_refused_grace},
    TimeField{"stop_notice_ms", {0, 3'600'000}, &TimeSettings::stop_notice},
    TimeField{"stop_deadline_ms", {0, 3'600'000}, &TimeSettings::stop_deadline},
    TimeField{
        "core_replacement_silence_ms", {100, 3'600'000}, &TimeSettings::core_replacement_timeout},
};

bool isUnset(const JsonValue& value) {
  const bool is_empty_text = value.kind == JsonKind::String && value.text.empty();
  return value.kind == JsonKind::Null || is_empty_text;
}

/** The value without the members that are null or an empty text: what fills a template in leaves
 * these where a deployment says nothing of them, and then the default holds. */
JsonValue withoutUnset(const JsonValue& value) {
  if (value.kind != JsonKind::Object) {
    return value;
  }
  JsonValue given;
  given.kind = JsonKind::Object;
  for (std::size_t index = 0; index < value.names.size(); ++index) {
    if (!isUnset(value.elements[index])) {
      given.names.push_back(value.names[index]);
      given.elements.push_back(withoutUnset(value.elements[index]));
    }
  }
  return given;
}

void addAddress(const std::string& text, const std::string& path, base::NodeAddress& address,
                Faults& faults) {
  try {
    address = base::NodeAddress::parse(text);
  } catch (const base::Error& error) {
    faults.push_back({path, error.code(), error.what()});
  }
}

void readAddress(ObjectReader& reader, const std::string& member, base::NodeAddress& address,
                 Faults& faults) {
  if (!reader.has(member)) {
    reader.optional(member);
    return;
  }
  const std::size_t before = faults.size();
  const std::string text = reader.text(member);
  if (faults.size() == before) {
    addAddress(text, member, address, faults);
  }
}

std::vector<base::NodeAddress> readAddresses(ObjectReader& reader, const std::string& member,
                                             Faults& faults) {
  std::vector<base::NodeAddress> addresses;
  const std::vector<std::string> texts = reader.texts(member);
  for (std::size_t index = 0; index < texts.size(); ++index) {
    base::NodeAddress address;
    addAddress(texts[index], member + "[" + std::to_string(index) + "]", address, faults);
    addresses.push_back(std::move(address));
  }
  return addresses;
}

double readFraction(ObjectReader& reader, const std::string& member, double fallback) {
  const JsonValue* value = reader.optional(member);
  if (value == nullptr) {
    return fallback;
  }
  const bool whole = value->kind == JsonKind::Integer;
  const double number = whole ? static_cast<double>(value->integer) : value->number;
  if ((!whole && value->kind != JsonKind::Number) || number < 0) {
    reader.fault(member, ResultCode::InvalidValue, "must be a number of at least 0");
    return fallback;
  }
  return number;
}

/** When open work is ended so that the process can close its session and go before it is killed. */
base::Duration stopDeadlineWithin(double grace_s) {
  constexpr double LongestCloseS = 1.5;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(0.0, grace_s - LongestCloseS)));
}

void readTimes(ObjectReader& reader, TimeSettings& times, Faults& faults) {
  const JsonValue* value = reader.optional("times");
  if (value == nullptr) {
    return;
  }
  ObjectReader time_reader(*value, "times", faults);
  for (const TimeField& field : TimeFields) {
    const std::int64_t fallback = base::toMilliseconds(times.*field.member);
    times.*field.member =
        std::chrono::milliseconds(time_reader.integer(field.name, field.range, fallback));
  }
  const double grace_s = readFraction(time_reader, "process_grace_s", 0);
  if (grace_s > 0) {
    times.stop_deadline = stopDeadlineWithin(grace_s);
  }
  time_reader.finish();
}

void readForwarding(ObjectReader& reader, ForwardingSettings& forwarding, Faults& faults) {
  const JsonValue* value = reader.optional("forwarding");
  if (value == nullptr) {
    return;
  }
  ObjectReader inner(*value, "forwarding", faults);
  forwarding.work_lanes = inner.boolean("work_lanes", false);
  forwarding.fleet_loads = inner.boolean("fleet_loads", false);
  forwarding.retry_share = readFraction(inner, "retry_share", forwarding.retry_share);
  forwarding.retry_extra = readFraction(inner, "retry_extra", forwarding.retry_extra);
  QuotaBounds& quotas = forwarding.quotas;
  quotas.window_s = readFraction(inner, "quota_window_s", quotas.window_s);
  quotas.overshoot = readFraction(inner, "quota_overshoot", quotas.overshoot);
  quotas.slack = readFraction(inner, "quota_slack", quotas.slack);
  inner.finish();
}

LapsedSession readLapsedSession(ObjectReader& reader) {
  const std::string text = reader.text("lapsed_session", "refuse");
  if (text != "refuse" && text != "serve") {
    reader.fault("lapsed_session", ResultCode::InvalidValue, "must be refuse or serve");
  }
  return text == "serve" ? LapsedSession::Serve : LapsedSession::Refuse;
}

/** Puts the fleet's port in the place of whatever port an address was told with. */
void setPort(std::vector<base::NodeAddress>& addresses, std::uint16_t port) {
  for (base::NodeAddress& address : addresses) {
    address.port = port;
  }
}

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
                        "stands in the list twice"});
    }
  }
}

void checkTimes(const TimeSettings& times, Faults& faults) {
  if (times.session_front_limit >= times.session_core_limit) {
    // A front must stop before the core counts its session as lapsed.
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

Settings parseSettings(const std::string& text, std::vector<Fault>& faults) {
  Settings settings;
  const std::optional<JsonValue> value = parseJson(text, SettingsLimits, "", faults);
  if (!value) {
    return settings;
  }
  const JsonValue given = withoutUnset(*value);
  ObjectReader reader(given, "", faults);
  readAddress(reader, "peer_address", settings.peer_address, faults);
  readAddress(reader, "http_address", settings.http_address, faults);
  readAddress(reader, "platform_address", settings.platform_address, faults);
  settings.zone = reader.text("zone");
  settings.region = reader.text("region");
  settings.data_folder = reader.text("data_folder");
  settings.seeds = readAddresses(reader, "seeds", faults);
  settings.initial_cores = readAddresses(reader, "initial_cores", faults);
  settings.operator_hashes = reader.texts("operator_hashes");
  readTimes(reader, settings.times, faults);
  readAddress(reader, "readiness_address", settings.readiness_address, faults);
  settings.fleet_peer_port =
      static_cast<std::uint16_t>(reader.integer("fleet_peer_port", {0, 65'535}, 0));
  settings.first_start = reader.boolean("first_start", false);
  settings.tolerated_core_losses =
      static_cast<std::uint32_t>(reader.integer("tolerated_core_losses", {0, MaximumLosses}, 0));
  settings.tolerated_zone_losses =
      static_cast<std::uint32_t>(reader.integer("tolerated_zone_losses", {0, MaximumLosses}, 0));
  settings.list_before_lease = reader.boolean("list_before_lease", false);
  settings.dialect = reader.text("dialect");
  settings.lapsed_session = readLapsedSession(reader);
  readForwarding(reader, settings.forwarding, faults);
  reader.finish();
  if (settings.fleet_peer_port != 0) {
    setPort(settings.seeds, settings.fleet_peer_port);
    setPort(settings.initial_cores, settings.fleet_peer_port);
  }
  if (settings.first_start && settings.initial_cores.empty()) {
    settings.initial_cores = settings.seeds;
  }
  return settings;
}

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
    faults.push_back({"http_address", ResultCode::InvalidValue, "is the peer address too"});
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
