#include "switchsaddle/workers/worker_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::workers {

namespace {

/** Maximum number of stored observations of workers that the view does not list. */
constexpr std::size_t MaximumUnlistedObservations = 1'024;

bool isNewer(const wire::WorkerView& view, const wire::WorkerView& current) {
  return std::tie(view.term, view.sequence) > std::tie(current.term, current.sequence);
}

/** Merges an observation into the stored one of the same worker; @return whether it changed. */
bool merge(wire::WorkerObservation& stored, const wire::WorkerObservation& observation) {
  if (observation.instance < stored.instance) {
    return false;
  }
  if (observation.instance > stored.instance) {
    stored = observation;
    return true;
  }
  const bool changed = (observation.draining && !stored.draining) ||
                       (observation.unreachable && !stored.unreachable);
  stored.draining = stored.draining || observation.draining;
  stored.unreachable = stored.unreachable || observation.unreachable;
  return changed;
}

std::uint64_t hashObservation(const wire::WorkerObservation& observation) {
  const std::uint64_t flags =
      (observation.draining ? 1U : 0U) | (observation.unreachable ? 2U : 0U);
  const std::uint64_t instance = base::combineHashes(observation.instance, flags);
  return base::combineHashes(base::hashBytes(observation.worker), instance);
}

}  // namespace

std::uint32_t loadKey(const wire::WorkerEntry& entry) {
  constexpr unsigned UpperHalf = 32;
  const std::uint64_t hash = base::combineHashes(base::hashBytes(entry.id), entry.instance);
  return static_cast<std::uint32_t>(hash >> UpperHalf);
}

bool WorkerDirectory::applyView(const wire::WorkerView& view) {
  if (!isNewer(view, view_)) {
    return false;
  }
  const wire::WorkerView before = std::exchange(view_, view);
  observeChanges(before);
  pruneObservations();
  rebuildSnapshot();
  return true;
}

void WorkerDirectory::observeChanges(const wire::WorkerView& before) {
  for (const wire::WorkerEntry& entry : view_.workers) {
    if (entry.state == wire::WorkerState::Draining) {
      mergeObservation({.worker = entry.id, .instance = entry.instance, .draining = true});
    }
  }
  const auto listed = listedInstances();
  for (const wire::WorkerEntry& entry : before.workers) {
    if (!listed.contains(entry.id)) {
      mergeObservation({.worker = entry.id, .instance = entry.instance, .unreachable = true});
    }
  }
}

bool WorkerDirectory::applyObservation(const wire::WorkerObservation& observation) {
  if (!observation.draining && !observation.unreachable) {
    return false;
  }
  const auto listed = snapshot_->workers.find(observation.worker);
  const bool outdated =
      listed != snapshot_->workers.end() && observation.instance < listed->second.entry.instance;
  if (outdated || !mergeObservation(observation)) {
    return false;
  }
  pruneObservations();
  const bool retained = observations_.contains(observation.worker);
  if (retained) {
    rebuildSnapshot();
  }
  return retained;
}

std::vector<wire::WorkerObservation> WorkerDirectory::observations() const {
  std::vector<wire::WorkerObservation> all;
  all.reserve(observations_.size());
  for (const auto& [worker, observation] : observations_) {
    all.push_back(observation);
  }
  return all;
}

std::uint64_t WorkerDirectory::observationsDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [worker, observation] : observations_) {
    digest = base::combineHashes(digest, hashObservation(observation));
  }
  return digest;
}

bool WorkerDirectory::mergeObservation(const wire::WorkerObservation& observation) {
  const auto [stored, inserted] = observations_.try_emplace(observation.worker, observation);
  return inserted || merge(stored->second, observation);
}

std::map<std::string, std::uint64_t> WorkerDirectory::listedInstances() const {
  std::map<std::string, std::uint64_t> instances;
  for (const wire::WorkerEntry& entry : view_.workers) {
    instances[entry.id] = entry.instance;
  }
  return instances;
}

void WorkerDirectory::pruneObservations() {
  const auto listed = listedInstances();
  std::erase_if(observations_, [&](const auto& item) {
    const auto current = listed.find(item.first);
    return current != listed.end() && item.second.instance < current->second;
  });
  std::vector<std::pair<std::uint64_t, std::string>> unlisted;
  for (const auto& [worker, observation] : observations_) {
    if (!listed.contains(worker)) {
      unlisted.emplace_back(observation.instance, worker);
    }
  }
  if (unlisted.size() <= MaximumUnlistedObservations) {
    return;
  }
  std::sort(unlisted.begin(), unlisted.end());
  unlisted.resize(unlisted.size() - MaximumUnlistedObservations);
  for (const auto& [instance, worker] : unlisted) {
    observations_.erase(worker);
  }
}

Worker WorkerDirectory::mergedWorker(const wire::WorkerEntry& entry) const {
  Worker worker;
  worker.entry = entry;
  worker.draining = entry.state == wire::WorkerState::Draining;
  const auto observed = observations_.find(entry.id);
  if (observed != observations_.end() && observed->second.instance == entry.instance) {
    worker.draining = worker.draining || observed->second.draining;
    worker.unreachable = observed->second.unreachable;
  }
  return worker;
}

void WorkerDirectory::rebuildSnapshot() {
  auto next = std::make_shared<WorkerSnapshot>();
  next->revision = snapshot_->revision + 1;
  next->term = view_.term;
  next->sequence = view_.sequence;
  for (const wire::WorkerEntry& entry : view_.workers) {
    next->workers[entry.id] = mergedWorker(entry);
  }
  retainUnlisted(*next);
  const WorkerSnapshotPtr before = std::exchange(snapshot_, std::move(next));
  // A listener may register another one.
  const std::vector<ChangeListener> listeners = listeners_;
  for (const ChangeListener& listener : listeners) {
    listener(before, snapshot_);
  }
}

void WorkerDirectory::retainUnlisted(WorkerSnapshot& next) const {
  for (const auto& [id, worker] : snapshot_->workers) {
    const bool left_list = !next.workers.contains(id) && observations_.contains(id);
    if (left_list) {
      Worker unlisted = worker;
      unlisted.unreachable = true;
      next.workers.emplace(id, std::move(unlisted));
    }
  }
}

}  // namespace switchsaddle::workers
