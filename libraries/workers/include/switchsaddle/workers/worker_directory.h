#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::workers {

/** A worker as this node believes it: the platform's entry with what fronts observed laid over it.
 */
struct Worker {
  wire::WorkerEntry entry;
  /** Listed as draining, or observed draining. Never returns to false within one instance. */
  bool draining = false;
  /** Vanished from the list, or observed gone. */
  bool gone = false;

  bool usable() const { return !draining && !gone; }
};

/** An immutable snapshot of all workers, for readers on the data plane. */
struct WorkerSnapshot {
  /** Increases with every change. */
  std::uint64_t revision = 0;
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  std::map<std::string, Worker> workers;
};

/** Names a worker instance where loads are told; the same at every node. Of two that had the same,
 * each would count with the other's load too. */
std::uint32_t loadKey(const wire::WorkerEntry& entry);

using WorkerSnapshotPtr = std::shared_ptr<const WorkerSnapshot>;

/**
 * This node's belief about workers. Views are taken in order of (term, sequence), older ones being
 * ignored; observations are never withdrawn within one worker instance, so that the lagging list
 * cannot bring a draining or vanished worker back. Runs on the control strand.
 */
class WorkerDirectory {
 public:
  using ChangeListener =
      std::function<void(const WorkerSnapshotPtr& before, const WorkerSnapshotPtr& after)>;

  /** Returns false where the view is not newer than the one held. */
  bool applyView(const wire::WorkerView& view);
  /** Returns false where nothing new was learned. */
  bool applyObservation(const wire::WorkerObservation& observation);
  WorkerSnapshotPtr snapshot() const { return snapshot_; }
  const wire::WorkerView& view() const { return view_; }
  std::vector<wire::WorkerObservation> observations() const;
  /** Digest of all observations, for gossip. */
  std::uint64_t observationsDigest() const;
  void addListener(ChangeListener listener) { listeners_.push_back(std::move(listener)); }

 private:
  /** Merges one observation; returns whether anything was new. */
  bool note(const wire::WorkerObservation& observation);
  /** Drops observations of earlier instances, and bounds those of workers not listed. */
  void prune();
  void rebuild();
  /** Workers that left the list stay in the snapshot, as gone, while that is remembered. */
  void keepVanished(WorkerSnapshot& next) const;

  wire::WorkerView view_;
  std::map<std::string, wire::WorkerObservation> observations_;
  WorkerSnapshotPtr snapshot_ = std::make_shared<WorkerSnapshot>();
  std::vector<ChangeListener> listeners_;
};

}  // namespace switchsaddle::workers
