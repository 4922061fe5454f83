#include <algorithm>
#include <array>
#include <utility>

#include "checks/checks.h"
#include "object_reader.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

constexpr IntegerRange MillisecondRange{1, 86'400'000};
constexpr IntegerRange TargetRange{0, 86'400'000};
constexpr IntegerRange CountRange{0, 1'000'000'000};
constexpr IntegerRange AttemptRange{1, 100};

struct KindName {
  std::string_view name;
  ForwardKind kind;
};

constexpr std::array KindNames{
    KindName{"repeatable", ForwardKind::Idempotent},
    KindName{"at-most-once", ForwardKind::AtMostOnce},
    KindName{"event-stream", ForwardKind::EventStream},
    KindName{"resumable-stream", ForwardKind::ResumableStream},
};

ForwardKind readKind(ObjectReader& reader) {
  reader.required("kind");
  const std::string text = reader.text("kind");
  const auto* found = std::ranges::find(KindNames, text, &KindName::name);
  if (found != KindNames.end()) {
    return found->kind;
  }
  reader.fault("kind", ResultCode::InvalidValue,
               "must be repeatable, at-most-once, event-stream or resumable-stream");
  return ForwardKind::AtMostOnce;
}

std::uint32_t readCount(ObjectReader& reader, const std::string& member, IntegerRange range,
                        std::uint32_t fallback) {
  return static_cast<std::uint32_t>(reader.integer(member, range, fallback));
}

ForwardTarget readTarget(const JsonValue& value, const std::string& path, Faults& faults) {
  ObjectReader reader(value, path, faults);
  reader.required("pool");
  ForwardTarget target;
  target.pool = reader.text("pool");
  target.weight = readCount(reader, "weight", CountRange, 1);
  reader.finish();
  return target;
}

std::vector<ForwardTarget> readTargets(ObjectReader& reader, const EntryText& entry,
                                       Faults& faults) {
  std::vector<ForwardTarget> targets;
  const JsonValue* list = reader.required("targets");
  if (list == nullptr) {
    return targets;
  }
  if (list->kind != JsonKind::Array) {
    reader.fault("targets", ResultCode::InvalidValue, "must be a list of objects");
    return targets;
  }
  std::uint64_t total_weight = 0;
  for (std::size_t index = 0; index < list->elements.size(); ++index) {
    const std::string path = entry.path + ".targets[" + std::to_string(index) + "]";
    targets.push_back(readTarget(list->elements[index], path, faults));
    total_weight += targets.back().weight;
  }
  if (total_weight == 0) {
    reader.fault("targets", ResultCode::InvalidValue, "the weights must not sum to 0");
  }
  return targets;
}

/** Reports routes with the same host and path prefix, and unknown pools. */
void checkForwardRoutes(const Forwarding& forwarding, Faults& faults) {
  std::map<std::pair<std::string, std::string>, std::string> route_of_prefix;
  for (const auto& [name, route] : forwarding.routes) {
    const std::string path = "forwarding/routes/" + name;
    const auto [owner, is_first] =
        route_of_prefix.emplace(std::pair(route.host, route.path_prefix), name);
    if (!is_first) {
      faults.push_back(
          {path, ResultCode::InvalidValue,
           "must not have the host and path prefix of forwarding/routes/" + owner->second});
    }
    for (const ForwardTarget& target : route.targets) {
      if (!forwarding.pools.contains(target.pool)) {
        faults.push_back({path + ".targets", ResultCode::InvalidValue,
                          "refers to the pool '" + target.pool + "', which does not exist"});
      }
    }
  }
}

/** Reports keys that belong to several tenants. */
void checkForwardTenants(const Forwarding& forwarding, Faults& faults) {
  std::map<std::string, std::string> owner_of_key;
  for (const auto& [name, tenant] : forwarding.tenants) {
    for (const std::string& hash : tenant.key_hashes) {
      const auto [owner, is_first] = owner_of_key.emplace(hash, name);
      if (!is_first && owner->second != name) {
        faults.push_back({"forwarding/tenants/" + name + ".keys", ResultCode::InvalidValue,
                          "shares a key with forwarding/tenants/" + owner->second});
      }
    }
  }
}

}  // namespace

void parseForwardRoute(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  ForwardRoute& route = parsed.forwarding.routes[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  route.name = entry.name;
  reader.required("host");
  route.host = reader.text("host");
  reader.required("path_prefix");
  route.path_prefix = reader.text("path_prefix");
  if (!route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/')) {
    reader.fault("path_prefix", ResultCode::InvalidValue, "must begin and end with a slash");
  }
  route.kind = readKind(reader);
  route.targets = readTargets(reader, entry, faults);
  route.time_limit_ms = readCount(reader, "time_limit_ms", MillisecondRange, route.time_limit_ms);
  route.response_target_ms =
      readCount(reader, "answer_goal_ms", TargetRange, route.response_target_ms);
  route.event_gap_target_ms = readCount(reader, "event_gap_goal_ms", TargetRange, 0);
  route.attempts = readCount(reader, "attempts", AttemptRange, 1);
  route.priority = readCount(reader, "priority", CountRange, route.priority);
  route.open = reader.boolean("open", false);
  reader.finish();
}

void parseForwardPool(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  ForwardPool& pool = parsed.forwarding.pools[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  pool.name = entry.name;
  pool.health_path = reader.text("health_path");
  pool.connections = readCount(reader, "connections", CountRange, 0);
  pool.slow_start_ms = readCount(reader, "cold_ms", TargetRange, 0);
  pool.slow_start_per_s = reader.nonNegativeNumber("cold_per_s", 0);
  pool.tokens_per_event = readCount(reader, "tokens_per_event", CountRange, 0);
  pool.models = reader.texts("models");
  reader.finish();
}

void parseForwardTenant(const EntryText& entry, ParsedConfiguration& parsed, Faults& faults) {
  ForwardTenant& tenant = parsed.forwarding.tenants[entry.name];
  ObjectReader reader(entry.value, entry.path, faults);
  tenant.name = entry.name;
  tenant.key_hashes = reader.texts("keys");
  for (const std::string& hash : tenant.key_hashes) {
    if (!isSha256(hash)) {
      reader.fault("keys", ResultCode::InvalidValue,
                   "must contain only SHA-256 hashes of 64 lower-case hexadecimal digits");
    }
  }
  tenant.has_priority = reader.has("priority");
  tenant.priority = readCount(reader, "priority", CountRange, 0);
  const std::string unit = reader.text("unit", "requests");
  if (unit != "requests" && unit != "tokens") {
    reader.fault("unit", ResultCode::InvalidValue, "must be requests or tokens");
  }
  tenant.unit = unit == "tokens" ? QuotaUnit::Tokens : QuotaUnit::Requests;
  tenant.rate_per_s = reader.nonNegativeNumber("rate_per_s", 0);
  tenant.burst = reader.nonNegativeNumber("burst", 0);
  tenant.default_tokens = readCount(reader, "default_tokens", CountRange, 1);
  reader.finish();
}

void checkForwarding(const ParsedConfiguration& parsed, Faults& faults) {
  checkForwardRoutes(parsed.forwarding, faults);
  checkForwardTenants(parsed.forwarding, faults);
}

}  // namespace switchsaddle::configuration
