#include "switchsaddle/front/retry_budget.h"

namespace switchsaddle::front {

void RetryBudget::countFirstTry(const std::string& service) {
  ServiceCounts& counts = services_[service];
  expire(counts.first_tries, Window);
  count(counts.first_tries);
}

bool RetryBudget::maySpend(const std::string& service, double share) {
  ServiceCounts& counts = services_[service];
  expire(counts.first_tries, Window);
  expire(counts.retries, Window + Slice);
  const double allowed = share * static_cast<double>(counts.first_tries.total);
  return static_cast<double>(counts.retries.total + 1) <= allowed;
}

bool RetryBudget::trySpend(const std::string& service, double share) {
  if (!maySpend(service, share)) {
    return false;
  }
  count(services_[service].retries);
  return true;
}

void RetryBudget::count(Counts& counts) {
  const base::TimePoint now = dispatcher_.now();
  if (counts.slices.empty() || now - counts.slices.back().start >= Slice) {
    counts.slices.push_back(SliceCount{now, 0});
  }
  ++counts.slices.back().count;
  ++counts.total;
}

void RetryBudget::expire(Counts& counts, base::Duration age) {
  const base::TimePoint now = dispatcher_.now();
  while (!counts.slices.empty() && now - counts.slices.front().start >= age) {
    counts.total -= counts.slices.front().count;
    counts.slices.pop_front();
  }
}

}  // namespace switchsaddle::front
