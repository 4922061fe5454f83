#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/health_messages.h"

namespace switchsaddle::worker_health {

/** A front process that sends reports. */
struct FrontKey {
  base::NodeAddress address;
  std::uint64_t instance = 0;

  auto operator<=>(const FrontKey&) const = default;
};

/** Sum of the observations of all reliable fronts for one worker or pool, decayed to now. */
struct Evidence {
  double recent_dispatched = 0;
  double recent_failed = 0;
  wire::HealthCounts counts;
  /** Fronts with recent failures. */
  std::size_t failing_fronts = 0;
  /** Fronts that reported the worker or pool. */
  std::size_t reporting_fronts = 0;
  std::uint32_t in_flight = 0;
  /** Seconds over which the long counts were taken, decayed like the counts. */
  double observed_s = 0;
};

/** Minimum number of recent failures of a worker for which a front counts as failing. */
inline constexpr double MinimumRecentFailures = 0.25;

/**
 * The fronts' last health reports at a core, and their sums. A front at which most requests fail
 * while those of the other fronts succeed is unreliable: the fault is in its own link, and its
 * reports are not counted.
 * Bounded: each front has at most MaximumWorkers rows, of which the oldest are evicted. Runs on the
 * control strand.
 */
class EvidenceLedger {
 public:
  static constexpr std::size_t MaximumWorkers = 128;

  explicit EvidenceLedger(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  /**
   * Applies a report of a front; empty reports are ignored.
   *
   * @param zone the front's zone.
   */
  void update(const FrontKey& front, const std::string& zone, const wire::HealthReport& report);
  /** Removes fronts whose last report is too old, and workers without recent failures from
   * failingSince(). */
  void removeExpired();
  /** @return the number of fronts with a report. */
  std::size_t fronts() const { return fronts_.size(); }

  /** @param zone limits the evidence to fronts of one zone. */
  Evidence ofWorker(std::uint64_t worker, const std::optional<std::string>& zone = {}) const;
  Evidence ofPool(std::uint64_t pool) const;
  /** @return the evidence of every reported worker, computed in one pass over all rows. */
  std::map<std::uint64_t, Evidence> ofAllWorkers() const;
  /** @return the time of the first recent failure of each worker that has any. */
  const std::map<std::uint64_t, base::TimePoint>& failingSince() const { return failing_since_; }

 private:
  struct Row {
    wire::WorkerHealth health;
    base::TimePoint last_seen;
  };
  struct Front {
    std::string zone;
    base::TimePoint last_seen;
    double observed_s = 0;
    std::map<std::uint64_t, wire::PoolHealth> pools;
    std::map<std::uint64_t, Row> workers;
  };

  /** @return whether the front's failures are not caused by its own link. */
  bool isReliable(const Front& front) const;
  static bool failsMostly(const wire::PoolHealth& pool);
  /** @return whether the requests of the other fronts to the pool succeed. */
  bool peersSucceed(const Front& front, std::uint64_t pool) const;
  static void addRow(Evidence& evidence, const Front& front, const Row& row, base::TimePoint now);
  static void evictRows(Front& front, base::TimePoint now);
  void recordFailures(const wire::WorkerHealth& health);

  base::Dispatcher& dispatcher_;
  std::map<FrontKey, Front> fronts_;
  std::map<std::uint64_t, base::TimePoint> failing_since_;
};

}  // namespace switchsaddle::worker_health
