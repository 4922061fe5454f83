#include "worker_assessment.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "switchsaddle/worker_health/share_bounds.h"

namespace switchsaddle::worker_health {

namespace {

/** Tolerated shares of degraded requests, regardless of the pool's baseline. */
constexpr double ToleratedStalls = 0.08;
constexpr double ToleratedSlow = 0.12;
constexpr double ToleratedFailures = 0.05;
/** Tolerated multiple of the pool's baseline. */
constexpr double ToleratedRatio = 2;
/** Weight of a failed request relative to a delayed one. */
constexpr double FailureWeight = 1.5;
/** A worker is healthy if the upper confidence bound is less than this above the tolerated share.
 */
constexpr double HealthyMargin = 0.06;
constexpr double MinimumDispatches = 12;

double shareOf(double bad, double counted) {
  return counted > 0 ? std::clamp(bad / counted, 0.0, 1.0) : 0;
}

/** @return the share of the streams that overlapped the prefill of a long prompt on the same
 * worker, averaged over `workers`. */
double shareOverlappingLongPrompts(const wire::HealthCounts& counts, double observed_s,
                                   double workers) {
  if (counts.timed <= 0 || observed_s <= 0) {
    return 0;
  }
  const double prompts_per_s = counts.long_prompts / observed_s / workers;
  const double stream_s = counts.stream_s / counts.timed;
  return 1 - std::exp(-prompts_per_s * stream_s);
}

/** The evidence of one symptom. */
struct Signal {
  Symptom symptom = Symptom::None;
  double bad = 0;
  double counted = 0;
  double tolerated = 0;
  double weight = 1;

  ShareBounds bounds() const { return shareBounds(bad, counted); }
  double severity() const { return std::max(0.0, bounds().low - tolerated) * weight; }
  bool isUnhealthy() const { return counted > 0 && bounds().low > tolerated; }
  bool isSuspect() const { return counted > 0 && shareOf(bad, counted) > tolerated; }
  bool isHealthy() const { return counted <= 0 || bounds().high < tolerated + HealthyMargin; }
};

using Signals = std::array<Signal, 3>;

Signals signalsOf(const WorkerRank& rank) {
  const wire::HealthCounts& counts = rank.evidence.counts;
  return {Signal{Symptom::Stalls, counts.stalled, counts.timed, rank.explained_stalls},
          Signal{Symptom::SlowTransfers, counts.slow, counts.timed, rank.explained_slow},
          Signal{Symptom::Failures, counts.failed, counts.dispatched, rank.explained_failures,
                 FailureWeight}};
}

void setExplainedShares(WorkerRank& rank, const PoolBaseline& baseline) {
  const double overlap_share =
      shareOverlappingLongPrompts(rank.evidence.counts, rank.evidence.observed_s, 1);
  rank.explained_stalls =
      std::min(1.0, std::max(ToleratedStalls, ToleratedRatio * baseline.stalls) + overlap_share);
  rank.explained_slow =
      std::min(1.0, std::max(ToleratedSlow, ToleratedRatio * baseline.slow) + overlap_share);
  rank.explained_failures = std::max(ToleratedFailures, ToleratedRatio * baseline.failures);
}

}  // namespace

PoolBaseline baselineOf(const wire::HealthCounts& counts, double observed_s, double workers) {
  const double overlap_share = shareOverlappingLongPrompts(counts, observed_s, workers);
  return {std::max(0.0, shareOf(counts.stalled, counts.timed) - overlap_share),
          std::max(0.0, shareOf(counts.slow, counts.timed) - overlap_share),
          shareOf(counts.failed, counts.dispatched)};
}

void assessWorker(WorkerRank& rank, const PoolBaseline& baseline) {
  setExplainedShares(rank, baseline);
  rank.severity = 0;
  rank.symptom = Symptom::None;
  rank.state = HealthState::Unknown;
  if (rank.evidence.counts.dispatched < MinimumDispatches) {
    return;
  }
  const Signals signals = signalsOf(rank);
  const Signal& worst = *std::ranges::max_element(signals, {}, &Signal::severity);
  if (worst.isUnhealthy()) {
    rank.severity = worst.severity();
    rank.symptom = worst.symptom;
    rank.state = HealthState::Unhealthy;
  } else if (std::ranges::any_of(signals, &Signal::isSuspect)) {
    rank.state = HealthState::Suspect;
  } else if (std::ranges::all_of(signals, &Signal::isHealthy)) {
    rank.state = HealthState::Healthy;
  }
}

}  // namespace switchsaddle::worker_health
