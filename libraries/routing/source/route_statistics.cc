#include "switchsaddle/routing/route_statistics.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::routing {

namespace {

/** Maximum weight of the old mean against a new sample, so that the mean follows a worker that
 * changes; the mass itself is not bounded. */
constexpr double MaximumWeight = 16.0;

double secondsOf(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double weighted(double first, double first_weight, double second, double second_weight) {
  if (second == 0 || second_weight == 0) {
    return first;
  }
  if (first == 0) {
    return second;
  }
  return (first * first_weight + second * second_weight) / (first_weight + second_weight);
}

SpeedSample weightedMean(const SpeedSample& first, double first_weight, const SpeedSample& second,
                         double second_weight) {
  SpeedSample mean;
  mean.tokens_per_second =
      weighted(first.tokens_per_second, first_weight, second.tokens_per_second, second_weight);
  mean.seconds_per_prefill_token =
      weighted(first.seconds_per_prefill_token, first_weight, second.seconds_per_prefill_token,
               second_weight * second.prefill_weight);
  mean.seconds_per_output_token = weighted(first.seconds_per_output_token, first_weight,
                                           second.seconds_per_output_token, second_weight);
  return mean;
}

}  // namespace

const char* armStatusName(ArmStatus status) {
  switch (status) {
    case ArmStatus::Proven:
      return "proven";
    case ArmStatus::Unsampled:
      return "unsampled";
    case ArmStatus::Stale:
      return "stale";
    case ArmStatus::Decayed:
      return "decayed";
  }
  return "unknown";
}

double RouteStatistics::mass(base::TimePoint now, double half_life_s) const {
  const double age_s = std::max(0.0, secondsOf(now - decayed_at_));
  return mass_ * std::exp2(-age_s / half_life_s);
}

void RouteStatistics::decayTo(base::TimePoint now, double half_life_s) {
  mass_ = mass(now, half_life_s);
  decayed_at_ = now;
}

void RouteStatistics::add(const SpeedSample& sample, base::TimePoint now, double half_life_s) {
  decayTo(now, half_life_s);
  mean_ = weightedMean(mean_, std::min(mass_, MaximumWeight), sample, 1.0);
  mass_ += 1.0;
  ++samples_;
  measured_ = true;
  forced_stale_ = false;
  measured_at_ = now;
}

void RouteStatistics::merge(const SpeedSample& mean, double mass, base::Duration age,
                            base::TimePoint now, double half_life_s) {
  if (!(mass > 0) || !std::isfinite(mass) || !(mean.tokens_per_second > 0)) {
    return;
  }
  decayTo(now, half_life_s);
  mean_ = weightedMean(mean_, std::min(mass_, MaximumWeight), mean, std::min(mass, MaximumWeight));
  mass_ = std::max(mass_, mass);
  const base::TimePoint measured_at = now - age;
  if (!measured_ || measured_at > measured_at_) {
    measured_at_ = measured_at;
  }
  measured_ = true;
}

ArmStatus RouteStatistics::status(base::TimePoint now, base::TimePoint epoch_start,
                                  double half_life_s) const {
  if (!measured_) {
    return ArmStatus::Unsampled;
  }
  if (forced_stale_ || measured_at_ < epoch_start) {
    return ArmStatus::Stale;
  }
  return mass(now, half_life_s) < ProvenMass ? ArmStatus::Decayed : ArmStatus::Proven;
}

}  // namespace switchsaddle::routing
