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

/** What all reliable fronts observed of a worker or pool, decayed to now. */
struct Evidence {
  double recent_dispatched = 0;
  double recent_failed = 0;
  wire::HealthCounts counts;
  /** Fronts with recent failures. */
  std::size_t failing_fronts = 0;
  /** Fronts that reported it at all. */
  std::size_t reporting_fronts = 0;
  std::uint32_t in_flight = 0;
  /** Seconds over which the long counts were taken, decayed as they are. */
  double observed_s = 0;
};

/** Recent failures from which on a front counts as failing with a worker. */
inline constexpr double MinimumRecentFailures = 0.25;

/**
 * The fronts' last health reports at a core, and their sums. A front at which most requests fail
 * while those of the other fronts succeed is unreliable: its own link fails, and it is not counted.
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
  /** Removes fronts whose last report is too old. */
  void forgetUnresponsive();
  /** @return the number of fronts with a report. */
  std::size_t fronts() const { return fronts_.size(); }

  /** @param zone limits the evidence to fronts of one zone. */
  Evidence ofWorker(std::uint64_t worker, const std::optional<std::string>& zone = {}) const;
  Evidence ofPool(std::uint64_t pool) const;
  /** @return the evidence of every reported worker, computed in one pass over all rows. */
  std::map<std::uint64_t, Evidence> ofAllWorkers() const;
  /** @return every worker with recent failures, with the time when they began. */
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

  /** Whether the front's failures are not those of its own link. */
  bool isReliable(const Front& front) const;
  static bool failsMostly(const wire::PoolHealth& pool);
  /** Whether the requests of the other fronts to the pool succeed. */
  bool peersSucceed(const Front& front, std::uint64_t pool) const;
  static void addRow(Evidence& evidence, const Front& front, const Row& row, base::TimePoint now);
  static void evictRows(Front& front, base::TimePoint now);
  void recordFailures(const wire::WorkerHealth& health);

  base::Dispatcher& dispatcher_;
  std::map<FrontKey, Front> fronts_;
  std::map<std::uint64_t, base::TimePoint> failing_since_;
};

}  // namespace switchsaddle::worker_health
