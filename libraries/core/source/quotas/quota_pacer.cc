#include "switchsaddle/core/quotas/quota_pacer.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::core {

namespace {

/** Half-life of the sums of requested and granted units, in seconds. */
constexpr double FlowHalfLifeS = 2.0;
/** Mean age of a decayed sum in seconds (half-life / ln 2). The sum divided by it is the rate. */
constexpr double FlowMeanAgeS = FlowHalfLifeS / 0.693;
/** The bucket's capacity is its inflow during this time, in seconds. */
constexpr double BucketTimeS = 0.5;
/** The expected demand of more urgent requests during this time, in seconds, is reserved. */
constexpr double ReserveTimeS = 0.25;
/** Maximum fraction of the bucket that is reserved. */
constexpr double MaximumReservedShare = 0.8;
/** Each urgency is granted at least this fraction of the mean granted share of all requests. */
constexpr double MinimumGrantedShare = 0.4;

double seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaPacer::advance(double units_per_s, base::TimePoint now) {
  const double elapsed_s = seconds(now - advanced_at_);
  advanced_at_ = now;
  const double remaining = std::exp2(-elapsed_s / FlowHalfLifeS);
  for (Flow& flow : flows_) {
    flow.requested_units *= remaining;
    flow.granted_units *= remaining;
    flow.requests *= remaining;
  }
  bucket_ = std::min(bucket_ + elapsed_s * units_per_s, units_per_s * BucketTimeS);
}

bool QuotaPacer::isStarved(std::size_t urgency) const {
  Flow all;
  for (const Flow& flow : flows_) {
    all.requested_units += flow.requested_units;
    all.granted_units += flow.granted_units;
  }
  const Flow& own = flows_[urgency];
  return own.granted_units * all.requested_units <
         own.requested_units * all.granted_units * MinimumGrantedShare;
}

double QuotaPacer::reserveFor(std::size_t urgency, double units_per_s) const {
  if (isStarved(urgency)) {
    return 0;
  }
  double more_urgent = 0;
  for (std::size_t index = 0; index < urgency; ++index) {
    more_urgent += flows_[index].requested_units;
  }
  if (more_urgent <= 0) {
    return 0;
  }
  // A request may overdraw the bucket. More urgent requests must not wait until it has refilled.
  const Flow& own = flows_[urgency];
  const double mean_units = own.requests > 0 ? own.requested_units / own.requests : 0;
  return std::min(more_urgent / FlowMeanAgeS * ReserveTimeS + mean_units,
                  units_per_s * BucketTimeS * MaximumReservedShare);
}

void QuotaPacer::noteRequest(std::size_t urgency, double units) {
  flows_[urgency].requested_units += units;
  flows_[urgency].requests += 1;
}

void QuotaPacer::noteGrant(std::size_t urgency, double units) {
  bucket_ -= units;
  flows_[urgency].granted_units += units;
}

}  // namespace switchsaddle::core
