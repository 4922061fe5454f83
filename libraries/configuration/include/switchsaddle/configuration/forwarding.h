#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * Forwarding: requests of any service, passed by host and path to a pool of workers with method,
 * path and body unchanged. Built from the entries forwarding/routes/NAME, forwarding/pools/NAME and
 * forwarding/tenants/NAME.
 */

namespace switchsaddle::configuration {

/** How often a forwarded request may run, and what its answer is. */
enum class ForwardKind : std::uint8_t {
  /** May run more than once. */
  Repeatable,
  /** May run at most once. */
  AtMostOnce,
  /** Answers with events; may run at most once. */
  EventStream,
  /** Answers with events; another worker can go on after the last whole event. */
  ResumableStream,
};

/** Whether the answer is a series of events. */
constexpr bool isStream(ForwardKind kind) {
  return kind == ForwardKind::EventStream || kind == ForwardKind::ResumableStream;
}

/** Whether a request which may have run may be sent again. */
constexpr bool mayRepeat(ForwardKind kind) {
  return kind == ForwardKind::Repeatable || kind == ForwardKind::ResumableStream;
}

/** One pool of a route with its share of the requests. */
struct ForwardTarget {
  std::string pool;
  std::uint32_t weight = 1;
};

/** Which requests a route takes, and how they are passed on. Times in milliseconds. */
struct ForwardRoute {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string path_prefix;
  ForwardKind kind = ForwardKind::Repeatable;
  std::vector<ForwardTarget> targets;
  /** Longest time from the request's arrival to its final answer. */
  std::uint32_t time_limit_ms = 60'000;
  /** Within this time an answer, or a stream's first event, is in time. */
  std::uint32_t answer_goal_ms = 1'000;
  /** Longest pause between two events of a stream that is in time; zero: none is set. */
  std::uint32_t event_gap_goal_ms = 0;
  /** Most workers that one request may be sent to. */
  std::uint32_t attempts = 1;
  /** 0 is the most urgent. */
  std::uint32_t priority = 5;
  /** Needs no key. */
  bool open = false;
};

/** Workers of one service, and what they bear. */
struct ForwardPool {
  std::string name;
  std::string health_path;
  /** Connections that one worker takes from all callers together; zero: no bound is known. */
  std::uint32_t connections = 0;
  /** How long a worker stays cold after its start. */
  std::uint32_t slow_start_ms = 0;
  /** Requests a second that a cold worker bears from all fronts together. */
  double slow_start_per_s = 0;
  /** Output tokens of one event; zero for services that are no model. */
  std::uint32_t tokens_per_event = 0;
  /** Models of the pool's workers; empty for services that are no model. */
  std::vector<std::string> models;
};

/** What a tenant's quota counts. */
enum class QuotaUnit : std::uint8_t { Requests, Tokens };

/** Who may call, how urgently and how much. */
struct ForwardTenant {
  std::string name;
  /** Lower-case hexadecimal SHA-256 of each key. */
  std::vector<std::string> key_hashes;
  /** Goes before the route's priority where `has_priority`. */
  std::uint32_t priority = 0;
  bool has_priority = false;
  QuotaUnit unit = QuotaUnit::Requests;
  /** Units a second for the whole fleet; zero: no limit. */
  double rate_per_s = 0;
  /** Units beyond the rate that may come at once; zero: none. */
  double burst = 0;
  /** Units of a request that does not tell its tokens. */
  std::uint32_t default_tokens = 1;
};

/** Bounds of the quotas of a deployment, on the units that a tenant may be let in for in any
 * window: (rate x window + burst) x (1 + overshoot) + slack. */
struct QuotaBounds {
  double window_s = 8;
  double overshoot = 0;
  double slack = 0;

  /** The tenant's units in any window; nothing where it has no quota. */
  std::optional<double> limitOf(const ForwardTenant& tenant) const;
  bool operator==(const QuotaBounds&) const = default;
};

/** The forwarding part of a configuration, indexed for lookups on the data plane. */
struct Forwarding {
  std::map<std::string, ForwardRoute> routes;
  std::map<std::string, ForwardPool> pools;
  std::map<std::string, ForwardTenant> tenants;
  /** Tenant by the key's hash. */
  std::map<std::string, std::string> tenant_of_key;

  /** The route of a host whose prefix begins the path and is longest, or nullptr. */
  const ForwardRoute* find(std::string_view host, std::string_view path) const;
  bool knowsHost(std::string_view host) const { return by_host_.find(host) != by_host_.end(); }
  const ForwardPool* findPool(const std::string& name) const;
  /** The tenant that holds a key, or nullptr. */
  const ForwardTenant* tenantOfKey(const std::string& sha256) const;
  /** Works out the lookups from the three maps; called once they are complete. */
  void index();

 private:
  /** Route names by host and prefix. */
  std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> by_host_;
};

}  // namespace switchsaddle::configuration
