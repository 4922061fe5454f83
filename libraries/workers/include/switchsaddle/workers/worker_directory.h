#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** This node's state of one worker: the platform's entry merged with the fronts' observations. */
struct Worker {
  wire::WorkerEntry entry;
  /** Listed as draining or observed to be. Not reset within one instance. */
  bool draining = false;
  /** Removed from the list or observed to be unreachable. Not reset within one instance. */
  bool unreachable = false;

  /** @return whether the worker accepts new requests. */
  bool usable() const { return !draining && !unreachable; }
};

/** Immutable snapshot of all workers, shared with readers on the data plane. */
struct WorkerSnapshot {
  /** Increases with each change. */
  std::uint64_t revision = 0;
  /** Order of the worker view that the snapshot is based on; see wire::WorkerView. */
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  /** By id. */
  std::map<std::string, Worker> workers;
};

/**
 * @return the key of a worker instance in load reports: a hash of id and instance, equal at every
 *     node. Two workers whose keys collide are each counted with the load of both.
 */
std::uint32_t loadKey(const wire::WorkerEntry& entry);

using WorkerSnapshotPtr = std::shared_ptr<const WorkerSnapshot>;

/**
 * This node's view of the workers. Merges the worker view of the platform watcher with the fronts'
 * observations.
 *
 * Invariants: views are applied in order of (term, sequence); observations are never reset within
 * one worker instance, so that a stale list cannot make a draining or unreachable worker usable
 * again. Runs on the control strand.
 */
class WorkerDirectory {
 public:
  using ChangeListener =
      std::function<void(const WorkerSnapshotPtr& before, const WorkerSnapshotPtr& after)>;

  /** @return whether the view is newer than the current one and was applied. */
  bool applyView(const wire::WorkerView& view);
  /** @return whether the observation added information. */
  bool applyObservation(const wire::WorkerObservation& observation);
  /** @return the current state; never null. */
  WorkerSnapshotPtr snapshot() const { return snapshot_; }
  /** @return the last view applied. */
  const wire::WorkerView& view() const { return view_; }
  /** @return all observations, ordered by worker id. */
  std::vector<wire::WorkerObservation> observations() const;
  /** @return a digest of all observations, by which gossip peers compare them. */
  std::uint64_t observationsDigest() const;
  /** The listener is called after each change, in order of registration. */
  void addListener(ChangeListener listener) { listeners_.push_back(std::move(listener)); }

 private:
  /** Records the observations that the applied view implies, of workers that it lists as draining
   * or no longer lists. */
  void observeChanges(const wire::WorkerView& before);
  /** @return whether the observation added information. */
  bool mergeObservation(const wire::WorkerObservation& observation);
  /** @return the instance of each listed worker, by id. */
  std::map<std::string, std::uint64_t> listedInstances() const;
  /** Removes observations of earlier instances and limits the number of those of unlisted workers.
   */
  void pruneObservations();
  /** Builds the next snapshot and notifies the listeners. */
  void rebuildSnapshot();
  Worker mergedWorker(const wire::WorkerEntry& entry) const;
  /** Adds the workers that left the list, as unreachable, while their observation is stored. */
  void retainUnlisted(WorkerSnapshot& next) const;

  wire::WorkerView view_;
  /** By worker id. */
  std::map<std::string, wire::WorkerObservation> observations_;
  WorkerSnapshotPtr snapshot_ = std::make_shared<WorkerSnapshot>();
  std::vector<ChangeListener> listeners_;
};

}  // namespace switchsaddle::workers
