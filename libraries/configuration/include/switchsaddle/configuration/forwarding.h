#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * Configuration of generic forwarding: requests of any service are routed by host and path to a
 * pool of workers, with method, path and body unchanged. Built from the entries
 * forwarding/routes/NAME, forwarding/pools/NAME and forwarding/tenants/NAME.
 */

namespace switchsaddle::configuration {

/** Execution semantics of a forwarded request, and the type of its response. */
enum class ForwardKind : std::uint8_t {
  /** Idempotent: may run more than once. */
  Idempotent,
  /** May run at most once. */
  AtMostOnce,
  /** Responds with an event stream; may run at most once. */
  EventStream,
  /** Responds with an event stream; another worker can resume it after the last complete event. */
  ResumableStream,
};

/** @return whether the response is an event stream. */
constexpr bool isStream(ForwardKind kind) {
  return kind == ForwardKind::EventStream || kind == ForwardKind::ResumableStream;
}

/** @return whether a request that may have run can be retried. */
constexpr bool isIdempotent(ForwardKind kind) {
  return kind == ForwardKind::Idempotent || kind == ForwardKind::ResumableStream;
}

/** One pool of a route, with its weight in load balancing. */
struct ForwardTarget {
  std::string pool;
  std::uint32_t weight = 1;
};

/** A route: the requests that it matches and how they are forwarded. */
struct ForwardRoute {
  std::string name;
  std::string host;
  /** Starts and ends with a slash. */
  std::string path_prefix;
  ForwardKind kind = ForwardKind::Idempotent;
  std::vector<ForwardTarget> targets;
  /** Deadline of the complete response, from the request's arrival. */
  std::uint32_t time_limit_ms = 60'000;
  /** Latency target (SLO) of the response, or of a stream's first event. */
  std::uint32_t response_target_ms = 1'000;
  /** Latency target (SLO) between two events of a stream; zero for none. */
  std::uint32_t event_gap_target_ms = 0;
  /** Maximum number of workers that one request is sent to. */
  std::uint32_t attempts = 1;
  /** 0 is the most urgent. */
  std::uint32_t priority = 5;
  /** Requests are accepted without a key. */
  bool open = false;
};

/** A pool: the workers of one service and their capacity. */
struct ForwardPool {
  std::string name;
  /** Path of the workers' health check. */
  std::string health_path;
  /** Connections that one worker accepts from all callers; zero for unlimited. */
  std::uint32_t connections = 0;
  /** Duration of a worker's slow start. */
  std::uint32_t slow_start_ms = 0;
  /** Requests per second that a worker in slow start accepts from all fronts. */
  double slow_start_per_s = 0;
  /** Output tokens per event; zero for services other than models. */
  std::uint32_t tokens_per_event = 0;
  /** Models of the pool's workers; empty for services other than models. */
  std::vector<std::string> models;
};

/** Unit in which a tenant's quota is counted. */
enum class QuotaUnit : std::uint8_t { Requests, Tokens };

/** A tenant: its keys, priority and quota. */
struct ForwardTenant {
  std::string name;
  /** Lower-case hexadecimal SHA-256 of each key. */
  std::vector<std::string> key_hashes;
  /** Overrides the route's priority if `has_priority`. */
  std::uint32_t priority = 0;
  bool has_priority = false;
  QuotaUnit unit = QuotaUnit::Requests;
  /** Fleet-wide rate in units per second; zero for unlimited. */
  double rate_per_s = 0;
  /** Burst in units beyond the rate; zero for none. */
  double burst = 0;
  /** Number of tokens counted for a request that does not state its tokens. */
  std::uint32_t default_tokens = 1;
};

/**
 * Accuracy of the deployment's quotas: the maximum number of units admitted for a tenant in any
 * window is (rate x window + burst) x (1 + overshoot) + slack.
 */
struct QuotaBounds {
  double window_s = 8;
  double overshoot = 0;
  double slack = 0;

  /** @return the tenant's maximum units in any window; std::nullopt if it has no quota. */
  std::optional<double> limitOf(const ForwardTenant& tenant) const;
  bool operator==(const QuotaBounds&) const = default;
};

/** The forwarding entries of a configuration, indexed for lookups on the data plane. */
struct Forwarding {
  std::map<std::string, ForwardRoute> routes;
  std::map<std::string, ForwardPool> pools;
  std::map<std::string, ForwardTenant> tenants;
  /** Name of the tenant by the hash of its key. */
  std::map<std::string, std::string> tenant_of_key;

  /** @return the route of the host with the longest matching path prefix, or nullptr. */
  const ForwardRoute* find(std::string_view host, std::string_view path) const;
  /** @return whether a route has this host. */
  bool hasHost(std::string_view host) const { return by_host_.find(host) != by_host_.end(); }
  /** @return the pool, or nullptr. */
  const ForwardPool* findPool(const std::string& name) const;
  /** @return the tenant that owns the key, or nullptr. */
  const ForwardTenant* tenantOfKey(const std::string& sha256) const;
  /** Builds the indexes; must be called once the maps are complete. */
  void index();

 private:
  /** Route names by host and prefix. */
  std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> by_host_;
};

}  // namespace switchsaddle::configuration
