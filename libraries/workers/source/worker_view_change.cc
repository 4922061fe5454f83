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
  const auto entries_before = byId(before.workers);
  const auto entries_after = byId(after.workers);
  for (const auto& [id, worker] : entries_after) {
    const auto previous = entries_before.find(id);
    if (previous == entries_before.end() || !(*previous->second == *worker)) {
      change.changed.push_back(*worker);
    }
  }
  for (const auto& [id, worker] : entries_before) {
    if (!entries_after.contains(id)) {
      change.removed.push_back(id);
    }
  }
  return change;
}

std::optional<wire::WorkerView> applyChange(const wire::WorkerView& base,
                                            const wire::WorkerViewChange& change) {
  if (base.term != change.base_term || base.sequence != change.base_sequence) {
    return std::nullopt;
  }
  auto entries = byId(base.workers);
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
