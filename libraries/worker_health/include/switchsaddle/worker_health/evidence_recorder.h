#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/peer_comparison.h"

namespace switchsaddle::worker_health {

/** One request sent to a worker. */
struct Dispatch {
  std::uint64_t worker = 0;
  std::uint64_t pool = 0;
  /** Kind of work; only requests of the same kind are compared with each other. */
  std::uint64_t kind = 0;
  /** Expected prefill time of the prompt. */
  base::Duration prefill{};
};

/**
 * Counts the outcomes of a front's dispatches by worker and by pool, and selects what to report to
 * the cores: outliers with failures or stalls, workers that the cores watch, and the rest in
 * rotation, so that the report on a healthy fleet is small. Runs on the control strand.
 */
class EvidenceRecorder {
 public:
  /** Limits of one report, in workers. */
  static constexpr std::size_t MaximumOutliers = 6;
  static constexpr std::size_t MaximumWatched = 16;
  static constexpr std::size_t RotatedWorkers = 1;
  static constexpr base::Duration ReportInterval = std::chrono::milliseconds(450);
  /** A dispatch without a response head for this long counts as failed, regardless of its outcome.
   */
  static constexpr base::Duration HeadTimeout = std::chrono::milliseconds(2'500);

  explicit EvidenceRecorder(base::Dispatcher& dispatcher)
      : dispatcher_(dispatcher), started_at_(dispatcher.now()) {}

  /** @return a number that identifies the dispatch in the calls that follow. */
  std::uint64_t onDispatch(const Dispatch& dispatch);
  /** The response head of the dispatch was received. */
  void onHead(std::uint64_t number);
  /** Ends a dispatch; called once for each. Unknown numbers are ignored. */
  void onEnd(std::uint64_t number, const DispatchSample& sample);
  /** Sets the workers that the cores watch. */
  void setWatched(const std::vector<std::uint64_t>& workers);
  /** @return what to report now; empty within ReportInterval of the last report. */
  wire::HealthReport statement();
  /** @return this front's requests in flight on the worker. */
  std::uint32_t inFlight(std::uint64_t worker) const;

 private:
  /** A dispatch that has not ended. */
  struct Pending {
    Dispatch dispatch;
    base::TimePoint dispatched_at;
    bool answered = false;
    bool counted_as_failed = false;
  };
  struct Record {
    std::uint64_t pool = 0;
    DecayedCounts counts;
    std::uint32_t in_flight = 0;
    base::TimePoint last_used;
  };

  void count(const Dispatch& dispatch, const wire::HealthCounts& counts);
  /** Counts dispatches that exceeded HeadTimeout as failed. */
  void countTimedOut();
  void removeIdle();
  /** @return the worker's failed, stalled and slow requests in excess of its pool's rate; zero or
   * negative if its rate is not above that of the pool. */
  double excess(const Record& record, base::TimePoint now) const;
  /** @return the workers with the most excess and recent failures, at most MaximumOutliers, worst
   * first. */
  std::vector<std::uint64_t> outliers(base::TimePoint now) const;
  void reportPools(base::TimePoint now, wire::HealthReport& report) const;
  void reportWatched(base::TimePoint now, wire::HealthReport& report) const;
  void reportRotated(base::TimePoint now, wire::HealthReport& report);
  /** Adds the worker's row unless it is unknown or already reported. */
  void reportWorker(std::uint64_t worker, base::TimePoint now, wire::HealthReport& report) const;

  base::Dispatcher& dispatcher_;
  base::TimePoint started_at_;
  PeerComparison comparison_;
  /** By number, which is the order of dispatch. */
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Record> workers_;
  std::map<std::uint64_t, DecayedCounts> pools_;
  std::set<std::uint64_t> watched_;
  base::TimePoint reported_at_{};
  /** The worker last reported in rotation. */
  std::uint64_t last_rotated_ = 0;
};

}  // namespace switchsaddle::worker_health
