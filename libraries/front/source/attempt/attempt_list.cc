#include "attempt/attempt_list.h"

#include <utility>

namespace switchsaddle::front {

AttemptList::AttemptList(RetryBudget& budget, Counters& counters, std::string service)
    : budget_(budget), counters_(counters), service_(std::move(service)) {}

void AttemptList::countFirst() {
  if (first_counted_) {
    return;
  }
  first_counted_ = true;
  budget_.countFirstAttempt(service_);
}

void AttemptList::beginDispatch() {
  countFirst();
  if (dispatched_ > 0) {
    ++counters_.resends;
  }
  ++dispatched_;
  ++counters_.dispatches;
}

bool AttemptList::mayRetry(double share) const {
  return budget_.mayAcquire(service_, share);
}

bool AttemptList::acquireRetry(double share, double extra) {
  if (!budget_.tryAcquire(service_, share, extra)) {
    return false;
  }
  ++counters_.retries;
  return true;
}

std::vector<std::string> AttemptList::excludedOf(const workers::WorkerSnapshot& listed) const {
  std::vector<std::string> ids = excluded_;
  if (excluded_addresses_.empty()) {
    return ids;
  }
  for (const auto& [id, worker] : listed.workers) {
    if (excluded_addresses_.contains(worker.entry.address)) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace switchsaddle::front
