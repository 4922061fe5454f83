#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/forwarding.h"

namespace switchsaddle::configuration {

/** Name of the service of model streams; all other services are one-shot services. */
inline constexpr const char* CompletionsService = "completions";

/** Session shape of a tenant with its parameters applied. */
struct SessionShape {
  /** Services that the tenant may use; each has a route. */
  std::vector<std::string> services;
  /** Latency target (SLO) of the first token; a request predicted to miss it is rejected. */
  std::uint32_t first_token_ms = 2'000;
  /** Maximum duration of a stream. */
  std::uint32_t stream_deadline_ms = 300'000;
  /** Deadline of a one-shot request. */
  std::uint32_t one_shot_deadline_ms = 10'000;
  std::uint32_t maximum_tokens = 4'096;
};

/** A tenant with its session shape and its branches of the share tree. */
struct Tenant {
  std::string name;
  SessionShape shape;
  /** Branch that the tenant's streams are counted against. */
  std::string stream_branch;
  /** Branch that the tenant's one-shot requests are counted against. */
  std::string one_shot_branch;
};

/** A branch of the share tree with its resolved number of slots. */
struct Branch {
  std::string path;
  std::uint32_t slots = 0;
};

/** A route of a service to a pool of workers. */
struct Route {
  std::string name;
  /** CompletionsService, or the name of a one-shot service. */
  std::string service;
  std::vector<std::string> models;
  /** The pool consists of the workers with this wire::WorkerEntry::service. */
  std::string pool;
};

/** A caller's key. */
struct Key {
  std::string id;
  /** Lower-case hexadecimal SHA-256 of the secret. */
  std::string sha256;
  std::string tenant;
};

/** Values of the entries tuning/NAME; the first four have the names of ADR-0021. */
struct Tuning {
  double route_explore_share = 0.3;
  double route_weight_alpha = 1.0;
  double route_stats_half_life_s = 600.0;
  std::uint32_t route_min_sample_tokens = 8;
  std::uint32_t route_candidates = 8;
  double route_prune_after_s = 86'400.0;
  /** Retry budget: share of a service's first attempts within 10 s that may be retried. */
  double retry_share = 0.1;
  /** Maximum share of a pool in maintenance at a time; at least one worker. */
  double maintenance_pool_share = 0.1;
  /** Minimum share of a pool that must remain usable when a worker enters maintenance. */
  double maintenance_capacity_share = 0.6;
  /** Maximum number of a pool's workers in maintenance in one zone. */
  std::uint32_t maintenance_zone_workers = 1;
};

/** Parsed and indexed form of a valid document, for lookups on the data plane. Immutable. */
struct View {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::map<std::string, Tenant> tenants;
  std::map<std::string, Branch> branches;
  std::map<std::string, Route> routes;
  /** By sha256. */
  std::map<std::string, Key> keys;
  /** Hashes of the operators' keys from the entries operators/ID. */
  std::set<std::string> operator_hashes;
  std::set<std::string> evacuated_zones;
  /** Ids of the workers in maintenance: they complete their requests and get no new ones. */
  std::set<std::string> workers_in_maintenance;
  Forwarding forwarding;
  Tuning tuning;

  /** @return whether neither the worker is in maintenance nor its zone is evacuated. */
  bool allowsWorker(const wire::WorkerEntry& worker) const {
    return !evacuated_zones.contains(worker.zone) && !workers_in_maintenance.contains(worker.id);
  }
  /** @return the route of a model of CompletionsService, or nullptr. */
  const Route* routeOfModel(const std::string& model) const;
  /** @return the route of a one-shot service, or nullptr. */
  const Route* routeOfService(const std::string& service) const;
};

/**
 * @return the view of the document.
 * @throws base::Error with ConfigurationInvalid if checkDocument() finds a fault.
 */
View buildView(const Document& document);

/** @return the lower-case hexadecimal SHA-256 of the text. */
std::string sha256Hex(const std::string& text);

}  // namespace switchsaddle::configuration
