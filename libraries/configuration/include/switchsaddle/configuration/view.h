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

/** The service of model streams; any other service is one of one-shots. */
inline constexpr const char* CompletionsService = "completions";

/** What a tenant's session shape comes to once its parameters are filled in. */
struct SessionShape {
  /** The services the shape allows; a route serves each. */
  std::vector<std::string> services;
  /** Longest wait for the first token that is accepted at admission, in milliseconds. */
  std::uint32_t first_token_ms = 2'000;
  /** Longest life of one stream, in milliseconds. */
  std::uint32_t stream_deadline_ms = 300'000;
  /** Deadline of a one-shot, in milliseconds. */
  std::uint32_t one_shot_deadline_ms = 10'000;
  std::uint32_t maximum_tokens = 4'096;
};

struct Tenant {
  std::string name;
  SessionShape shape;
  /** The share branch the tenant's streams count against, and that of its one-shots. */
  std::string stream_branch;
  std::string one_shot_branch;
};

/** A branch of the share tree with its slots worked out down from the root. */
struct Branch {
  std::string path;
  std::uint32_t slots = 0;
};

struct Route {
  std::string name;
  /** "completions" for model streams, else a one-shot service's name. */
  std::string service;
  std::vector<std::string> models;
  /** Workers of the pool are those whose `service` is this. */
  std::string pool;
};

struct Key {
  std::string id;
  /** Lower-case hexadecimal SHA-256 of the secret. */
  std::string sha256;
  std::string tenant;
};

/** tuning/NAME values; the first four are ADR-0021's own names. */
struct Tuning {
  double route_explore_share = 0.3;
  double route_weight_alpha = 1.0;
  double route_stats_half_life_s = 600.0;
  std::uint32_t route_min_sample_tokens = 8;
  std::uint32_t route_candidates = 8;
  double route_prune_after_s = 86'400.0;
  /** Share of a service's first tries that may be retried, over 10 s. */
  double retry_share = 0.1;
  /** Part of a pool that may be out for maintenance at once; at least one worker may. */
  double maintenance_pool_share = 0.1;
  /** Part of a pool that is to be left when a worker is taken out. */
  double maintenance_capacity_share = 0.6;
  /** Workers of a pool that may be out in one zone. */
  std::uint32_t maintenance_zone_workers = 1;
};

/** The parsed, indexed form of a valid document, for lookups on the data plane. Immutable. */
struct View {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::map<std::string, Tenant> tenants;
  std::map<std::string, Branch> branches;
  std::map<std::string, Route> routes;
  /** By sha256. */
  std::map<std::string, Key> keys;
  /** Operators' key hashes from operators/ID. */
  std::set<std::string> operator_hashes;
  std::set<std::string> evacuated_zones;
  /** By id. They finish what they have and get nothing new. */
  std::set<std::string> workers_in_maintenance;
  Forwarding forwarding;
  Tuning tuning;

  /** Whether neither the worker nor its zone has been ordered to be empty. */
  bool allowsWorker(const wire::WorkerEntry& worker) const {
    return !evacuated_zones.contains(worker.zone) && !workers_in_maintenance.contains(worker.id);
  }
  /** The route of a model in the completions service, or nullptr. */
  const Route* routeOfModel(const std::string& model) const;
  /** The route of a one-shot service, or nullptr. */
  const Route* routeOfService(const std::string& service) const;
};

/** Builds the view; throws base::Error with ConfigurationInvalid where checkDocument() finds a
 * fault. */
View buildView(const Document& document);

/** Lower-case hexadecimal SHA-256. */
std::string sha256Hex(const std::string& text);

}  // namespace switchsaddle::configuration
