#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * The recent placement rate of each prefix chain at this front. A count-min sketch, since there are
 * far more chains than counters; counts halve every HalfLifeSeconds. An estimate may be too high,
 * but never too low. Runs on the control strand.
 */
class ChainRate {
 public:
  static constexpr double HalfLifeSeconds = 10.0;

  ChainRate();
  /** Counts one placement. */
  void add(std::uint64_t chain, base::TimePoint now);
  /** @return placements per second. */
  double perSecond(std::uint64_t chain, base::TimePoint now) const;
  /** @return a lower bound: the rate less two standard deviations of the count, since one placement
   * at this front does not show the fleet's rate. */
  double lowerBoundPerSecond(std::uint64_t chain, base::TimePoint now) const;

 private:
  static constexpr std::size_t Rows = 2;
  static constexpr std::size_t Columns = 4'096;

  static std::array<std::size_t, Rows> cellsOf(std::uint64_t chain);
  /** The weight of a placement made now. It grows over time, so that the counters need no decay
   * between calls of rescale(). */
  double weightAt(base::TimePoint now) const;
  /** Decays all counters and resets the weight to one. */
  void rescale(base::TimePoint now);

  std::vector<float> counts_;
  base::TimePoint scaled_at_{};
};

}  // namespace switchsaddle::routing
