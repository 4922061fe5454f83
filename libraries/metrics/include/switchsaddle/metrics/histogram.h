#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::metrics {

/** Counts durations by upper bounds in seconds. Lives on one strand. */
class Histogram {
 public:
  /** The bounds, in seconds, ascending; one more bucket takes what is above them all. */
  explicit Histogram(std::vector<double> bounds);

  void observe(base::Duration duration);
  const std::vector<double>& bounds() const { return bounds_; }
  /** Observations of each bucket, not added up; one more than there are bounds. */
  const std::vector<std::uint64_t>& counts() const { return counts_; }
  /** Of all observations, in seconds. */
  double sum() const { return sum_; }

 private:
  std::vector<double> bounds_;
  std::vector<std::uint64_t> counts_;
  double sum_ = 0;
};

/** Bounds for waits of callers, from 5 ms to 30 s. */
std::vector<double> callerWaitBounds();
/** Bounds for rounds between machines, from 1 ms to 5 s. */
std::vector<double> roundTripBounds();

}  // namespace switchsaddle::metrics
