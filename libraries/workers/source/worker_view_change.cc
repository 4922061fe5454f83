#include "switchsaddle/workers/worker_view_change.h"

#include <map>
#include <string>

namespace switchsaddle::workers {

namespace {

std::map<std::string, const wire::WorkerEntry*> byId(
    const std::vector<wire::WorkerEntry>& workers) {
  std::map<std::string, const wire::WorkerEntry*> entries;
  for (const wire::WorkerEntry& worker : workers) {
    entries[worker.id] = &worker;
  }
  return entries;
}

}  // namespace

wire::WorkerViewChange changeBetween(const wire::WorkerView& before,
                                     const wire::WorkerView& after) {
  wire::WorkerViewChange change;
  change.base_term = before.term;
  change.base_sequence = before.sequence;
  change.term = after.term;
  change.sequence = after.sequence;
  const auto held = byId(before.workers);
  const auto next = byId(after.workers);
  for (const auto& [id, worker] : next) {
    const auto known = held.find(id);
    if (known == held.end() || !(*known->second == *worker)) {
      change.changed.push_back(*worker);
    }
  }
  for (const auto& [id, worker] : held) {
    if (!next.contains(id)) {
      change.removed.push_back(id);
    }
  }
  return change;
}

std::optional<wire::WorkerView> applyChange(const wire::WorkerView& held,
                                            const wire::WorkerViewChange& change) {
  if (held.term != change.base_term || held.sequence != change.base_sequence) {
    return std::nullopt;
  }
  auto entries = byId(held.workers);
  for (const wire::WorkerEntry& worker : change.changed) {
    entries[worker.id] = &worker;
  }
  for (const std::string& id : change.removed) {
    entries.erase(id);
  }
  wire::WorkerView view;
  view.term = change.term;
  view.sequence = change.sequence;
  view.workers.reserve(entries.size());
  for (const auto& [id, worker] : entries) {
    view.workers.push_back(*worker);
  }
  return view;
}

}  // namespace switchsaddle::workers
