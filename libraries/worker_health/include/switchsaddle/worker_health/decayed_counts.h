#pragma once

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/health_messages.h"

namespace switchsaddle::worker_health {

/** How fast what was counted is forgotten. */
inline constexpr base::Duration RecentHalfLife = std::chrono::milliseconds(2'500);
inline constexpr base::Duration LongHalfLife = std::chrono::seconds(120);

/** Counts that halve each half-life: of late, and over minutes. */
class DecayedCounts {
 public:
  /** Adds to both; brings them up to now first. */
  void add(const wire::HealthCounts& counts, base::TimePoint now);
  /** As of now. */
  wire::HealthCounts counts(base::TimePoint now) const;
  double recentDispatched(base::TimePoint now) const;
  double recentFailed(base::TimePoint now) const;

 private:
  double recentFactor(base::TimePoint now) const;

  wire::HealthCounts counts_;
  double recent_dispatched_ = 0;
  double recent_failed_ = 0;
  base::TimePoint decayed_at_{};
};

/** Seconds of a time that has just ended, each counted by how much of it is not yet forgotten. */
double decayedSeconds(base::Duration elapsed);

/** Adds `factor` times the second to the first. */
void addCounts(wire::HealthCounts& sum, const wire::HealthCounts& counts, double factor = 1);

}  // namespace switchsaddle::worker_health
