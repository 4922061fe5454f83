#include <algorithm>
#include <array>

#include "object_reader.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/settings.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;
using Faults = std::vector<Fault>;

constexpr JsonLimits SettingsLimits{.maximum_bytes = 262'144, .maximum_depth = 4, .comments = true};

/** Upper limit of the tolerated losses of cores and zones. */
constexpr std::int64_t MaximumLosses = 10;

/** Memory of a machine, in MiB; platforms may give fractions. */
constexpr double LeastMemoryMb = 1;
constexpr double LargestMemoryMb = 16'777'216;
constexpr IntegerRange DescriptorRange{0, 16'777'216};

/** A time limit of the settings file in milliseconds: its key, range and member. */
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

/**
 * @return the value without members that are null or an empty string. Templates of deployments
 * render unset values this way; their defaults then apply.
 */
JsonValue withoutUnset(const JsonValue& value) {
  if (value.kind != JsonKind::Object) {
    return value;
  }
  JsonValue set_members;
  set_members.kind = JsonKind::Object;
  for (std::size_t index = 0; index < value.names.size(); ++index) {
    if (!isUnset(value.elements[index])) {
      set_members.names.push_back(value.names[index]);
      set_members.elements.push_back(withoutUnset(value.elements[index]));
    }
  }
  return set_members;
}

void parseAddress(const std::string& text, const std::string& path, base::NodeAddress& address,
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
  const std::size_t faults_before = faults.size();
  const std::string text = reader.text(member);
  if (faults.size() == faults_before) {
    parseAddress(text, member, address, faults);
  }
}

std::vector<base::NodeAddress> readAddresses(ObjectReader& reader, const std::string& member,
                                             Faults& faults) {
  std::vector<base::NodeAddress> addresses;
  const std::vector<std::string> texts = reader.texts(member);
  for (std::size_t index = 0; index < texts.size(); ++index) {
    base::NodeAddress address;
    parseAddress(texts[index], member + "[" + std::to_string(index) + "]", address, faults);
    addresses.push_back(std::move(address));
  }
  return addresses;
}

/**
 * @param grace_s time between the termination signal and the process being killed.
 * @return the time limit of the graceful shutdown; the rest of the time is for closing the session.
 */
base::Duration stopDeadlineWithin(double grace_s) {
  constexpr double SessionCloseS = 1.5;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(0.0, grace_s - SessionCloseS)));
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
  const double grace_s = time_reader.nonNegativeNumber("process_grace_s", 0);
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
  ObjectReader forwarding_reader(*value, "forwarding", faults);
  forwarding.work_lanes = forwarding_reader.boolean("work_lanes", false);
  forwarding.fleet_loads = forwarding_reader.boolean("fleet_loads", false);
  forwarding.retry_share =
      forwarding_reader.nonNegativeNumber("retry_share", forwarding.retry_share);
  forwarding.retry_extra =
      forwarding_reader.nonNegativeNumber("retry_extra", forwarding.retry_extra);
  QuotaBounds& quotas = forwarding.quotas;
  quotas.window_s = forwarding_reader.nonNegativeNumber("quota_window_s", quotas.window_s);
  quotas.overshoot = forwarding_reader.nonNegativeNumber("quota_overshoot", quotas.overshoot);
  quotas.slack = forwarding_reader.nonNegativeNumber("quota_slack", quotas.slack);
  forwarding_reader.finish();
}

void readLimits(ObjectReader& reader, ResourceSettings& limits, Faults& faults) {
  const JsonValue* value = reader.optional("limits");
  if (value == nullptr) {
    return;
  }
  ObjectReader limit_reader(*value, "limits", faults);
  const double memory_mb = limit_reader.nonNegativeNumber("memory_mb", limits.memory_mb);
  if (memory_mb < LeastMemoryMb) {
    limit_reader.fault("memory_mb", ResultCode::InvalidValue, "must be at least 1");
  }
  limits.memory_mb = static_cast<std::uint32_t>(std::min(memory_mb, LargestMemoryMb));
  limits.descriptors = static_cast<std::uint32_t>(
      limit_reader.integer("descriptors", DescriptorRange, limits.descriptors));
  limit_reader.finish();
}

ExpiredSessionPolicy readExpiredSessionPolicy(ObjectReader& reader) {
  const std::string text = reader.text("lapsed_session", "refuse");
  if (text != "refuse" && text != "serve") {
    reader.fault("lapsed_session", ResultCode::InvalidValue, "must be \"refuse\" or \"serve\"");
  }
  return text == "serve" ? ExpiredSessionPolicy::Serve : ExpiredSessionPolicy::Refuse;
}

void readAddressSettings(ObjectReader& reader, Settings& settings, Faults& faults) {
  readAddress(reader, "peer_address", settings.peer_address, faults);
  readAddress(reader, "http_address", settings.http_address, faults);
  readAddress(reader, "platform_address", settings.platform_address, faults);
}

std::uint32_t readToleratedLosses(ObjectReader& reader, const std::string& member) {
  return static_cast<std::uint32_t>(reader.integer(member, {0, MaximumLosses}, 0));
}

void setPort(std::vector<base::NodeAddress>& addresses, std::uint16_t port) {
  for (base::NodeAddress& address : addresses) {
    address.port = port;
  }
}

/** Derives the addresses of peers from fleet_peer_port and first_start. */
void resolveCoreAddresses(Settings& settings) {
  if (settings.fleet_peer_port != 0) {
    setPort(settings.seeds, settings.fleet_peer_port);
    setPort(settings.initial_cores, settings.fleet_peer_port);
  }
  if (settings.first_start && settings.initial_cores.empty()) {
    settings.initial_cores = settings.seeds;
  }
}

}  // namespace

bool isCutSettingsFile(const std::string& text) {
  return isCutJson(text, SettingsLimits);
}

Settings parseSettings(const std::string& text, std::vector<Fault>& faults) {
  Settings settings;
  const std::optional<JsonValue> value = parseJson(text, SettingsLimits, "", faults);
  if (!value) {
    return settings;
  }
  const JsonValue set_members = withoutUnset(*value);
  ObjectReader reader(set_members, "", faults);
  readAddressSettings(reader, settings, faults);
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
  settings.tolerated_core_losses = readToleratedLosses(reader, "tolerated_core_losses");
  settings.tolerated_zone_losses = readToleratedLosses(reader, "tolerated_zone_losses");
  settings.tolerated_region_losses = readToleratedLosses(reader, "tolerated_region_losses");
  settings.list_before_lease = reader.boolean("list_before_lease", false);
  settings.dialect = reader.text("dialect");
  settings.lapsed_session = readExpiredSessionPolicy(reader);
  readForwarding(reader, settings.forwarding, faults);
  readLimits(reader, settings.limits, faults);
  reader.finish();
  resolveCoreAddresses(settings);
  return settings;
}

}  // namespace switchsaddle::configuration
