#pragma once

#include <map>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/routing/worker_record.h"

namespace switchsaddle::routing {

/**
 * One record for each worker of the current snapshot. Invariant: a record exists as long as its
 * instance is listed; another instance with the same id gets a new record and number. Runs on the
 * control strand.
 */
class WorkerRecords {
 public:
  using Records = std::map<std::string, WorkerRecordPtr>;

  explicit WorkerRecords(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /** Creates, updates and removes records to match the snapshot. */
  void applySnapshot(const workers::WorkerSnapshot& snapshot);
  /** Applies slow-start limits and evacuations. */
  void applyConfiguration(const configuration::View& view);
  /** By worker id. */
  const Records& all() const { return records_; }

 private:
  void initialize(WorkerRecord& record, const std::string& id, const wire::WorkerEntry& entry);
  WorkerNumber allocateNumber();

  base::Dispatcher& dispatcher_;
  Records records_;
  WorkerNumber next_number_ = 0;
  bool numbers_reused_ = false;
  bool first_snapshot_applied_ = false;
};

}  // namespace switchsaddle::routing
