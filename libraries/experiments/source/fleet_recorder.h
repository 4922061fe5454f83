#pragma once

#include <vector>

#include "fleet_settings.h"
#include "modelled_worker.h"
#include "switchsaddle/experiments/experiment.h"

namespace switchsaddle::experiments {

/** Records the events of one run and computes its measures. */
class FleetRecorder {
 public:
  explicit FleetRecorder(const FleetSettings& settings) : settings_(settings) {}

  void onPlaced(std::size_t worker, base::TimePoint now);
  void onFirstToken(base::Duration since_arrival, base::TimePoint now);
  void onDone(const ModelledPrompt& prompt, const StreamResult& result, base::TimePoint now);
  void onLost() { ++lost_; }
  /** A worker restarted or joined with an empty cache. */
  void onSlowStart(std::size_t worker, base::TimePoint now);
  void onCrash(std::size_t worker) { crashed_.push_back(worker); }
  void onScoresSent(std::size_t bytes) { score_bytes_ += bytes; }
  std::vector<Measure> measures() const;

 private:
  struct SlowStart {
    std::size_t worker = 0;
    base::TimePoint at{};
  };
  struct Placed {
    std::size_t worker = 0;
    base::TimePoint at{};
  };

  bool measuring(base::TimePoint now) const;
  double percentile(double share) const;
  double fairShare(base::Duration window) const;
  /** Prompts placed on a worker in a window that begins `offset` after its start, divided by its
   * fair share; the largest value of all slow starts. */
  double slowStartShare(base::Duration offset, base::Duration window) const;
  double largestLaterSlowStartShare() const;
  /** Longest time from a slow start until a worker gets half its fair share within two seconds. */
  double secondsUntilHalfFairShare() const;
  double spread() const;

  const FleetSettings& settings_;
  std::vector<double> first_tokens_s_;
  std::vector<Placed> placed_;
  std::vector<SlowStart> slow_starts_;
  std::vector<std::size_t> crashed_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t prefix_tokens_ = 0;
  std::uint64_t output_tokens_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t score_bytes_ = 0;
};

}  // namespace switchsaddle::experiments
