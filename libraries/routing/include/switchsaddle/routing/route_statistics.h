#pragma once

#include <cstdint>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/** The status of an arm as defined by ADR-0021. Only proven arms are drawn from. */
enum class ArmStatus : std::uint8_t { Proven, Unsampled, Stale, Decayed };

/** The name shown in the routing table. */
const char* armStatusName(ArmStatus status);

/** Mass below which an arm leaves the exploit pool (ADR-0021). */
inline constexpr double ProvenMass = 0.5;

/** The score of one completion. Rates that were not measured are zero. */
struct SpeedSample {
  /** End-to-end output tokens per second: ADR-0021's score. */
  double tokens_per_second = 0;
  /** Time to the first token per uncached prompt token. */
  double seconds_per_prefill_token = 0;
  /** Time per output token after the first. */
  double seconds_per_output_token = 0;
  /** Weight of the prefill rate, 0 to 1: a short prefill is a poor sample of it. */
  double prefill_weight = 1;
};

/**
 * An exponentially weighted mean whose mass halves every half-life. Adding a sample first decays
 * the mass; the old mean then has the decayed mass as its weight, and the sample has weight one.
 * ADR-0021 specifies no smoothing factor; this form was chosen since nodes can merge their means.
 * Times are of this node's clock.
 */
class RouteStatistics {
 public:
  void add(const SpeedSample& sample, base::TimePoint now, double half_life_s);
  /**
   * Merges another node's mean. Means are weighted by mass. The mass becomes the larger of the two,
   * so that merging the same value again does not change the mass. Ignores values that are not
   * positive or not finite.
   *
   * @param mass the other node's mass, decayed to `now`.
   * @param age time since the other node's last measurement.
   */
  void merge(const SpeedSample& mean, double mass, base::Duration age, base::TimePoint now,
             double half_life_s);
  double mass(base::TimePoint now, double half_life_s) const;
  /** @param epoch_start when the model's current epoch began. */
  ArmStatus status(base::TimePoint now, base::TimePoint epoch_start, double half_life_s) const;
  /** Makes the arm stale until it is measured again; its mean stays as a prior. */
  void markStale() { forced_stale_ = true; }
  /** Resets the mass after the arm's worker was replaced by another instance; the mean stays as a
   * prior. */
  void startInstance() { mass_ = 0; }
  const SpeedSample& mean() const { return mean_; }
  std::uint64_t samples() const { return samples_; }
  bool measured() const { return measured_; }
  base::TimePoint measuredAt() const { return measured_at_; }
  base::TimePoint decayedAt() const { return decayed_at_; }

 private:
  void decayTo(base::TimePoint now, double half_life_s);

  SpeedSample mean_;
  double mass_ = 0;
  std::uint64_t samples_ = 0;
  bool measured_ = false;
  bool forced_stale_ = false;
  base::TimePoint decayed_at_{};
  base::TimePoint measured_at_{};
};

}  // namespace switchsaddle::routing
