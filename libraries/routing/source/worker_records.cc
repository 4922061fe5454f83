#include "switchsaddle/routing/worker_records.h"

#include <algorithm>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

void WorkerRecords::applySnapshot(const workers::WorkerSnapshot& snapshot) {
  for (const auto& [id, worker] : snapshot.workers) {
    WorkerRecordPtr& record = records_[id];
    const bool same_instance = record && record->worker.entry.instance == worker.entry.instance;
    if (!same_instance) {
      record = std::make_shared<WorkerRecord>();
      initialize(*record, id, worker.entry);
    }
    record->worker = worker;
    record->slow_start.listed_warming_up = worker.entry.warming_up;
    record->slots = std::max(1U, worker.entry.slots);
  }
  std::erase_if(records_,
                [&snapshot](const auto& item) { return !snapshot.workers.contains(item.first); });
  first_snapshot_applied_ = first_snapshot_applied_ || !snapshot.workers.empty();
}

void WorkerRecords::initialize(WorkerRecord& record, const std::string& id,
                               const wire::WorkerEntry& entry) {
  record.number = allocateNumber();
  record.hash = base::hashBytes(id);
  record.load_key = workers::loadKey(entry);
  record.slow_start.instance = base::combineHashes(record.hash, entry.instance);
  record.slow_start.first_seen = dispatcher_.now();
  record.slow_start.present_at_start = !first_snapshot_applied_;
}

void WorkerRecords::applyConfiguration(const configuration::View& view) {
  for (const auto& [id, record] : records_) {
    const configuration::ForwardPool* pool = view.forwarding.findPool(record->worker.entry.service);
    record->slow_start.rate_limit_per_s = pool == nullptr ? 0 : pool->slow_start_per_s;
    const bool evacuated = !view.allowsWorker(record->worker.entry);
    const bool returns = record->evacuated && !evacuated;
    if (returns && pool != nullptr) {
      // An idle worker may need to warm up before the platform lists it as warming up.
      record->slow_start.warming_up_until =
          dispatcher_.now() + std::chrono::milliseconds(pool->slow_start_ms);
    }
    record->evacuated = evacuated;
  }
}

/** Numbers are reused only after all were used; the prefix index no longer has them by then. */
WorkerNumber WorkerRecords::allocateNumber() {
  const auto is_taken = [this](WorkerNumber number) {
    return std::ranges::any_of(records_, [number](const auto& item) {
      return item.second && item.second->number == number;
    });
  };
  while (next_number_ == NoWorker || (numbers_reused_ && is_taken(next_number_))) {
    numbers_reused_ = true;
    ++next_number_;
  }
  return next_number_++;
}

}  // namespace switchsaddle::routing
