#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::metrics {

/** Histogram of durations. Used on one strand. */
class Histogram {
 public:
  /** @param bounds upper bounds of the buckets in seconds, ascending; a last bucket is unbounded.
   */
  explicit Histogram(std::vector<double> bounds);

  void observe(base::Duration duration);
  const std::vector<double>& bounds() const { return bounds_; }
  /** @return the observations in each bucket, not cumulated; one more element than bounds(). */
  const std::vector<std::uint64_t>& counts() const { return counts_; }
  /** @return the sum of all observations in seconds. */
  double sum() const { return sum_; }

 private:
  std::vector<double> bounds_;
  std::vector<std::uint64_t> counts_;
  double sum_ = 0;
};

/** @return bounds for the latency of requests, from 5 ms to 30 s. */
std::vector<double> requestLatencyBounds();
/** @return bounds for round trips between nodes, from 1 ms to 5 s. */
std::vector<double> roundTripBounds();

}  // namespace switchsaddle::metrics
