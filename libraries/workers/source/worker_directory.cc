#include "switchsaddle/workers/worker_directory.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::workers {

namespace {

/** Most observations kept of workers that the view does not list. */
constexpr std::size_t MaximumAbsentObservations = 1'024;

bool isNewer(const wire::WorkerView& view, const wire::WorkerView& held) {
  if (view.term != held.term) {
    return view.term > held.term;
  }
  return view.sequence > held.sequence;
}

/** Lays one observation over another of the same worker; returns whether anything was new. */
bool merge(wire::WorkerObservation& held, const wire::WorkerObservation& observation) {
  if (observation.instance < held.instance) {
    return false;
  }
  if (observation.instance > held.instance) {
    held = observation;
    return true;
  }
  const bool is_new = (observation.draining && !held.draining) || (observation.gone && !held.gone);
  held.draining = held.draining || observation.draining;
  held.gone = held.gone || observation.gone;
  return is_new;
}

std::uint64_t hashObservation(const wire::WorkerObservation& observation) {
  const std::uint64_t flags = (observation.draining ? 1U : 0U) | (observation.gone ? 2U : 0U);
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
  std::map<std::string, std::uint64_t> listed;
  for (const wire::WorkerEntry& entry : view_.workers) {
    listed[entry.id] = entry.instance;
    if (entry.state == wire::WorkerState::Draining) {
      note({entry.id, entry.instance, true, false});
    }
  }
  for (const wire::WorkerEntry& entry : before.workers) {
    if (!listed.contains(entry.id)) {
      note({entry.id, entry.instance, false, true});
    }
  }
  prune();
  rebuild();
  return true;
}

bool WorkerDirectory::applyObservation(const wire::WorkerObservation& observation) {
  if (!observation.draining && !observation.gone) {
    return false;
  }
  const auto listed = snapshot_->workers.find(observation.worker);
  const bool outdated =
      listed != snapshot_->workers.end() && observation.instance < listed->second.entry.instance;
  if (outdated || !note(observation)) {
    return false;
  }
  prune();
  const auto kept = observations_.find(observation.worker);
  if (kept == observations_.end()) {
    return false;
  }
  rebuild();
  return true;
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

bool WorkerDirectory::note(const wire::WorkerObservation& observation) {
  const auto [held, inserted] = observations_.try_emplace(observation.worker, observation);
  return inserted || merge(held->second, observation);
}

void WorkerDirectory::prune() {
  std::map<std::string, std::uint64_t> listed;
  for (const wire::WorkerEntry& entry : view_.workers) {
    listed[entry.id] = entry.instance;
  }
  std::vector<std::pair<std::uint64_t, std::string>> absent;
  for (auto held = observations_.begin(); held != observations_.end();) {
    const auto entry = listed.find(held->first);
    if (entry == listed.end()) {
      absent.emplace_back(held->second.instance, held->first);
    } else if (held->second.instance < entry->second) {
      held = observations_.erase(held);
      continue;
    }
    ++held;
  }
  if (absent.size() <= MaximumAbsentObservations) {
    return;
  }
  std::sort(absent.begin(), absent.end());
  absent.resize(absent.size() - MaximumAbsentObservations);
  for (const auto& [instance, worker] : absent) {
    observations_.erase(worker);
  }
}

void WorkerDirectory::rebuild() {
  auto next = std::make_shared<WorkerSnapshot>();
  next->revision = snapshot_->revision + 1;
  next->term = view_.term;
  next->sequence = view_.sequence;
  for (const wire::WorkerEntry& entry : view_.workers) {
    Worker worker;
    worker.entry = entry;
    worker.draining = entry.state == wire::WorkerState::Draining;
    const auto observed = observations_.find(entry.id);
    if (observed != observations_.end() && observed->second.instance == entry.instance) {
      worker.draining = worker.draining || observed->second.draining;
      worker.gone = observed->second.gone;
    }
    next->workers[entry.id] = std::move(worker);
  }
  keepVanished(*next);
  const WorkerSnapshotPtr before = std::exchange(snapshot_, std::move(next));
  const std::vector<ChangeListener> listeners = listeners_;
  for (const ChangeListener& listener : listeners) {
    listener(before, snapshot_);
  }
}

void WorkerDirectory::keepVanished(WorkerSnapshot& next) const {
  for (const auto& [id, worker] : snapshot_->workers) {
    const bool vanished = !next.workers.contains(id) && observations_.contains(id);
    if (vanished) {
      Worker gone = worker;
      gone.gone = true;
      next.workers.emplace(id, std::move(gone));
    }
  }
}

}  // namespace switchsaddle::workers
