#pragma once

#include <array>
#include <cstddef>

#include "switchsaddle/base/time.h"

namespace switchsaddle::core {

/**
 * Paces the grants of one tenant's quota by a token bucket, and reserves units for more urgent
 * requests. The bucket fills at the rate that uses up the quota within its window, so that a tenant
 * above its quota is admitted evenly and not in bursts. A granted request may overdraw the bucket,
 * so that large requests are treated like small ones. Each urgency is granted a minimum share
 * regardless of more urgent requests, so that none starves. Runs on the control strand.
 */
class QuotaPacer {
 public:
  /** Number of distinct urgencies; 0 is the most urgent. */
  static constexpr std::size_t Urgencies = 10;

  /** Advances the averages and the bucket to `now`. */
  void advance(double units_per_s, base::TimePoint now);
  /** @return the units that may be granted now; negative after a large request. */
  double available() const { return bucket_; }
  /** @return the units reserved for requests that are more urgent than `urgency`. */
  double reserveFor(std::size_t urgency, double units_per_s) const;
  void noteRequest(std::size_t urgency, double units);
  void noteGrant(std::size_t urgency, double units);

 private:
  /** Exponentially decayed sums over the requests of one urgency. */
  struct Flow {
    double requested_units = 0;
    double granted_units = 0;
    double requests = 0;
  };

  /** @return whether the urgency was granted less than its minimum share. */
  bool isStarved(std::size_t urgency) const;

  std::array<Flow, Urgencies> flows_;
  double bucket_ = 0;
  base::TimePoint advanced_at_;
};

}  // namespace switchsaddle::core
