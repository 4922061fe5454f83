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

/** The process that told something. */
struct FrontKey {
  base::NodeAddress address;
  std::uint64_t instance = 0;

  auto operator<=>(const FrontKey&) const = default;
};

/** What all believed fronts saw, as of now. */
struct Evidence {
  double recent_dispatched = 0;
  double recent_failed = 0;
  wire::HealthCounts counts;
  /** Fronts that saw a failure of late. */
  std::size_t accusing_fronts = 0;
  /** Fronts that told of it at all. */
  std::size_t telling_fronts = 0;
  std::uint32_t in_flight = 0;
  /** Seconds over which the long counts were taken, decayed as they are. */
  double observed_s = 0;
};

/**
 * The fronts' last statements at a core, added up. A front to which most workers seem to fail while
 * the others find them well is not believed: it is its own link that fails. Bounded: each front
 * has at most MaximumWorkers rows, the oldest giving way. Runs on the control strand.
 */
class EvidenceLedger {
 public:
  static constexpr std::size_t MaximumWorkers = 128;

  explicit EvidenceLedger(base::Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  void update(const FrontKey& front, const std::string& zone, const wire::HealthReport& statement);
  /** Forgets fronts that have been silent for long. */
  void forgetUnresponsive();
  std::size_t fronts() const { return fronts_.size(); }

  /** Of one worker, as the fronts of all zones see it, or of one. */
  Evidence ofWorker(std::uint64_t worker, const std::optional<std::string>& zone = {}) const;
  Evidence ofPool(std::uint64_t pool) const;
  /** Of every worker that some front told of, in one pass over all rows. */
  std::map<std::uint64_t, Evidence> ofAllWorkers() const;
  /** Every worker that some front told of, with the first time that one saw failures there that
   * have not ended since. */
  const std::map<std::uint64_t, base::TimePoint>& accusedSince() const { return accused_since_; }

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

  bool isBelieved(const Front& front) const;
  static void addRow(Evidence& evidence, const Front& front, const Row& row, base::TimePoint now);
  void noteAccused(const wire::WorkerHealth& health);

  base::Dispatcher& dispatcher_;
  std::map<FrontKey, Front> fronts_;
  std::map<std::uint64_t, base::TimePoint> accused_since_;
};

/** Failures of late from which a front accuses a worker. */
inline constexpr double AccusedFrom = 0.25;

}  // namespace switchsaddle::worker_health
