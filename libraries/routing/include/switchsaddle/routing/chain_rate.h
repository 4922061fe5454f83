#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * How often each prefix chain was placed here of late, for far more chains than it has counters: a
 * count-min sketch whose counts halve every HalfLife. May read too high, never too low.
 */
class ChainRate {
 public:
  static constexpr double HalfLifeSeconds = 10.0;

  ChainRate();
  void add(std::uint64_t chain, base::TimePoint now);
  /** Placements each second. */
  double perSecond(std::uint64_t chain, base::TimePoint now) const;
  /** The same, less two standard deviations of the count: what a few placements prove. A front that
   * placed a chain once says nothing of the fleet's rate. */
  double provenPerSecond(std::uint64_t chain, base::TimePoint now) const;

 private:
  static constexpr std::size_t Rows = 2;
  static constexpr std::size_t Columns = 4'096;

  static std::array<std::size_t, Rows> cellsOf(std::uint64_t chain);
  /** What one placement counts now; grows in place of all counters shrinking. */
  double weightAt(base::TimePoint now) const;
  void rescale(base::TimePoint now);

  std::vector<float> counts_;
  base::TimePoint scaled_at_{};
};

}  // namespace switchsaddle::routing
