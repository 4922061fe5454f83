#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Epidemic dissemination of the configuration, the worker view, worker observations and route
 * scores.
 */

namespace switchsaddle::wire {

/** Which stage of a completion a worker serves. */
enum class WorkerStage : std::uint8_t { Both, Prefill, Decode };

/** The state of a worker in the platform's list. */
enum class WorkerState : std::uint8_t { Ready, Draining };

/** One entry of the configuration. A removal leaves a tombstone. */
struct ConfigurationEntry {
  std::string path;
  /** Canonical JSON text of the value; empty for a tombstone. */
  std::string json;
  /** The configuration version that last changed it. */
  std::uint64_t version = 0;
  bool removed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, json, version, removed);
  }
};

/** All entries changed after `from_version` up to `to_version`. From version 0 it is the whole. */
struct ConfigurationDelta {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /** Digest of the whole configuration at to_version. */
  std::uint64_t digest = 0;
  std::vector<ConfigurationEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from_version, to_version, digest, entries);
  }
};

/** Asks a peer for the delta since a version. */
struct ConfigurationFetch {
  std::uint64_t since_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(since_version);
  }
};

/** One worker as the platform lists it. */
struct WorkerEntry {
  std::string id;
  base::NodeAddress address;
  std::string zone;
  std::vector<std::string> models;
  std::string service;
  WorkerStage stage = WorkerStage::Both;
  WorkerState state = WorkerState::Ready;
  std::string weights_version;
  std::uint32_t slots = 0;
  /** Changes when the worker leaves and comes back, as the watcher saw it. */
  std::uint64_t instance = 0;
  /** The platform says that the worker bears little for now, as after its start. */
  bool cold = false;

  bool operator==(const WorkerEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, zone, models, service, stage, state, weights_version, slots, instance,
            cold);
  }
};

/** The whole worker list, published by the holder of the platform-watcher lease. */
struct WorkerView {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::vector<WorkerEntry> workers;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence, workers);
  }
};

/** What leads from one worker list to a newer one. */
struct WorkerViewChange {
  std::uint64_t base_term = 0;
  std::uint64_t base_sequence = 0;
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  /** Entries that are new or differ. */
  std::vector<WorkerEntry> changed;
  /** Ids that the newer list lacks. */
  std::vector<std::string> removed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(base_term, base_sequence, term, sequence, changed, removed);
  }
};

/** What a front saw itself: the worker instance is draining or gone. Never withdrawn for an
 * instance. */
struct WorkerObservation {
  std::string worker;
  std::uint64_t instance = 0;
  bool draining = false;
  bool gone = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, instance, draining, gone);
  }
};

/** One arm's learned score on one front, to be merged by decayed mass. */
struct RouteScore {
  std::string model;
  std::string arm;
  std::uint64_t epoch = 0;
  double tokens_per_second = 0;
  double seconds_per_prefill_token = 0;
  double seconds_per_output_token = 0;
  double mass = 0;
  /** Time since the mass was last decayed, at the sender. */
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, arm, epoch, tokens_per_second, seconds_per_prefill_token,
            seconds_per_output_token, mass, age_ms);
  }
};

/** What a node has, sent to a random peer each second. */
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

/** What the peer lacks, and this node's fresh scores. */
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
