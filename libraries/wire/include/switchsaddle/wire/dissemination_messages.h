#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages of the gossip protocol, which disseminates the configuration, the worker view, worker
 * observations and route scores to every node.
 */

namespace switchsaddle::wire {

/** Stage of a completion that a worker serves. */
enum class WorkerStage : std::uint8_t { Both, Prefill, Decode };

/** State of a worker in the platform's endpoint list. */
enum class WorkerState : std::uint8_t { Ready, Draining };

/** One entry of the configuration. A removed entry remains as a tombstone. */
struct ConfigurationEntry {
  /** Path of the value in the configuration document. */
  std::string path;
  /** Canonical JSON text of the value; empty for a tombstone. */
  std::string json;
  /** Configuration version that last changed the entry. */
  std::uint64_t version = 0;
  /** The entry is a tombstone. */
  bool removed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, json, version, removed);
  }
};

/**
 * All entries changed after `from_version` up to `to_version`. A delta from version 0 is a complete
 * snapshot.
 */
struct ConfigurationDelta {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /** Digest of the complete configuration at to_version. */
  std::uint64_t digest = 0;
  std::vector<ConfigurationEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from_version, to_version, digest, entries);
  }
};

/** Requests a ConfigurationDelta from `since_version` on. */
struct ConfigurationFetch {
  std::uint64_t since_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(since_version);
  }
};

/** One worker of the platform's endpoint list. */
struct WorkerEntry {
  std::string id;
  base::NodeAddress address;
  std::string zone;
  /** Names of the models that the worker serves. */
  std::vector<std::string> models;
  /** Name of the worker's pool. */
  std::string service;
  WorkerStage stage = WorkerStage::Both;
  WorkerState state = WorkerState::Ready;
  std::string weights_version;
  /** Requests that the worker runs at once; 0 if the platform does not state it. */
  std::uint32_t slots = 0;
  /** Incarnation of the worker, assigned by the platform watcher; increases with each restart. */
  std::uint64_t instance = 0;
  /** The platform reports the worker as warming up: it takes a reduced load (slow start). */
  bool warming_up = false;

  bool operator==(const WorkerEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, zone, models, service, stage, state, weights_version, slots, instance,
            warming_up);
  }
};

/**
 * The complete worker list, published by the holder of the platform-watcher lease. Views are
 * ordered by (term, sequence).
 */
struct WorkerView {
  /** Term of the platform-watcher lease. */
  std::uint64_t term = 0;
  /** Counts the views of the term from 1. */
  std::uint64_t sequence = 0;
  std::vector<WorkerEntry> workers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence, workers);
  }
};

/** Difference between the worker view (base_term, base_sequence) and the newer (term, sequence). */
struct WorkerViewChange {
  std::uint64_t base_term = 0;
  std::uint64_t base_sequence = 0;
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  /** Entries added or modified. */
  std::vector<WorkerEntry> changed;
  /** Ids of the workers that the newer view no longer lists. */
  std::vector<std::string> removed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(base_term, base_sequence, term, sequence, changed, removed);
  }
};

/**
 * A front's own observation that a worker instance is draining or unreachable. Invariant: flags are
 * never reset within one instance.
 */
struct WorkerObservation {
  /** WorkerEntry::id. */
  std::string worker;
  /** WorkerEntry::instance. */
  std::uint64_t instance = 0;
  /** The worker answered that it is draining. */
  bool draining = false;
  /** The worker is unreachable. */
  bool unreachable = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, instance, draining, unreachable);
  }
};

/** Learned score of one arm on one front; peers merge scores weighted by their decayed mass. */
struct RouteScore {
  std::string model;
  std::string arm;
  std::uint64_t epoch = 0;
  double tokens_per_second = 0;
  double seconds_per_prefill_token = 0;
  double seconds_per_output_token = 0;
  /** Decayed number of observations behind the score. */
  double mass = 0;
  /** Time since the sender last decayed the mass. */
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, arm, epoch, tokens_per_second, seconds_per_prefill_token,
            seconds_per_output_token, mass, age_ms);
  }
};

/** Versions and digests of a node's state, sent to a random peer each second. */
struct GossipDigest {
  std::uint64_t configuration_version = 0;
  std::uint64_t configuration_digest = 0;
  std::uint64_t worker_term = 0;
  std::uint64_t worker_sequence = 0;
  std::uint64_t observations_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration_version, configuration_digest, worker_term, worker_sequence,
            observations_digest);
  }
};

/** Reply to GossipDigest: the state that the peer lacks, and the sender's recent scores. */
struct GossipDelta {
  ConfigurationDelta configuration;
  WorkerView workers;
  std::vector<WorkerObservation> observations;
  std::vector<RouteScore> scores;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, workers, observations, scores);
  }
};

}  // namespace switchsaddle::wire
