#include "switchsaddle/metrics/histogram.h"

#include <algorithm>

namespace switchsaddle::metrics {

Histogram::Histogram(std::vector<double> bounds)
    : bounds_(std::move(bounds)), counts_(bounds_.size() + 1, 0) {}

void Histogram::observe(base::Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const auto bound = std::lower_bound(bounds_.begin(), bounds_.end(), seconds);
  ++counts_[static_cast<std::size_t>(bound - bounds_.begin())];
  sum_ += seconds;
}

std::vector<double> requestLatencyBounds() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30};
}

std::vector<double> roundTripBounds() {
  return {0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};
}

}  // namespace switchsaddle::metrics
