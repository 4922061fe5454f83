#pragma once

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/health_messages.h"

namespace switchsaddle::worker_health {

/** Half-life of the recent counts, which ejection uses, and of the long counts, which ranking uses.
 */
inline constexpr base::Duration RecentHalfLife = std::chrono::milliseconds(2'500);
inline constexpr base::Duration LongHalfLife = std::chrono::seconds(120);

/** Exponentially decayed counts of dispatches, with a short and a long half-life. Runs on the
 * control strand. */
class DecayedCounts {
 public:
  /** Decays the counts to `now`, then adds to both. */
  void add(const wire::HealthCounts& counts, base::TimePoint now);
  /** @return the counts of LongHalfLife, decayed to `now`. */
  wire::HealthCounts counts(base::TimePoint now) const;
  /** @return dispatches of RecentHalfLife, decayed to `now`. */
  double recentDispatched(base::TimePoint now) const;
  /** @return failures of RecentHalfLife, decayed to `now`. */
  double recentFailed(base::TimePoint now) const;

 private:
  double recentFactor(base::TimePoint now) const;

  wire::HealthCounts counts_;
  double recent_dispatched_ = 0;
  double recent_failed_ = 0;
  base::TimePoint decayed_at_{};
};

/** @return the share of a count that remains after `elapsed`, 0 to 1. */
double decayFactor(base::Duration elapsed, base::Duration half_life);

/** @return the length in seconds of a period that ends now, decayed by LongHalfLife. */
double decayedSeconds(base::Duration elapsed);

/** Adds `factor` times `counts` to `sum`. */
void addCounts(wire::HealthCounts& sum, const wire::HealthCounts& counts, double factor = 1);

}  // namespace switchsaddle::worker_health
