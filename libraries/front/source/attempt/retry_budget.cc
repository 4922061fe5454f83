#include "switchsaddle/front/attempt/retry_budget.h"

#include <cmath>

namespace switchsaddle::front {

void RetryBudget::countFirstAttempt(const std::string& service) {
  ServiceCounts& counts = services_[service];
  expire(counts.first_attempts, Window - Headroom);
  count(counts.first_attempts);
}

bool RetryBudget::mayAcquire(const std::string& service, double share, double extra) {
  ServiceCounts& counts = services_[service];
  expire(counts.first_attempts, Window - Headroom);
  expire(counts.retries, Window + Slice);
  const double allowed = share * lowerEstimate(counts.first_attempts.total) + extra;
  const double allowed_in_short_window =
      share * static_cast<double>(countWithin(counts.first_attempts, ShortWindow)) + extra;
  const bool within_window = static_cast<double>(counts.retries.total + 1) <= allowed;
  const bool within_short_window =
      static_cast<double>(countWithin(counts.retries, ShortWindow)) <= allowed_in_short_window;
  return within_window && within_short_window;
}

bool RetryBudget::tryAcquire(const std::string& service, double share, double extra) {
  if (!mayAcquire(service, share, extra)) {
    return false;
  }
  count(services_[service].retries);
  return true;
}

double RetryBudget::lowerEstimate(std::uint64_t first_attempts) {
  // The standard deviation of independent arrivals is the square root of their number. For small
  // counts the rounding of slices is a sufficient margin.
  constexpr std::uint64_t SmallCount = 40;
  const auto counted = static_cast<double>(first_attempts);
  return first_attempts <= SmallCount ? counted : counted - std::sqrt(counted);
}

std::uint64_t RetryBudget::countWithin(const Counts& counts, base::Duration age) const {
  std::uint64_t within = 0;
  for (auto slice = counts.slices.rbegin(); slice != counts.slices.rend(); ++slice) {
    if (dispatcher_.now() - slice->start >= age) {
      break;
    }
    within += slice->count;
  }
  return within;
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
