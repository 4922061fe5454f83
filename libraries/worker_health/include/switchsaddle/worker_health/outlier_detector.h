#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/worker_health/evidence_ledger.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::worker_health {

/**
 * Outlier detection at a core: ejects workers that fail a much larger share of their requests than
 * the rest of their pool, regardless of their own health checks. Decides separately for each zone
 * of fronts, because a worker may fail the requests of one zone only.
 *
 * Invariants: at most a fixed share of a pool is ejected; the reports of one front alone are not
 * sufficient, unless it is the only one; a worker is reinstated after its ejection time and is
 * ejected again, for twice as long, only for new failures. Runs on the control strand.
 */
class OutlierDetector {
 public:
  /** Both must outlive this object. */
  OutlierDetector(base::Dispatcher& dispatcher, EvidenceLedger& ledger)
      : dispatcher_(dispatcher), ledger_(ledger) {}

  void setWorkers(workers::WorkerSnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }
  /** @return the workers that fronts of the zone should report, and those that are ejected there.
   */
  wire::HealthAdvice advice(const std::string& zone);

 private:
  /** A worker, and the zone of the fronts for which its ejection is decided. */
  struct ZonedWorker {
    std::uint64_t worker = 0;
    std::string zone;

    auto operator<=>(const ZonedWorker&) const = default;
  };
  struct State {
    std::string pool;
    bool ejected = false;
    /** When the worker was ejected or reinstated. */
    base::TimePoint since;
    base::Duration ejection_time{};
    /** Counts at the time of reinstatement, which are subtracted from later evidence. */
    double dispatched_at_reinstatement = 0;
    double failed_at_reinstatement = 0;
  };
  /** A worker with sufficient evidence to be ejected. */
  struct Candidate {
    std::uint64_t worker = 0;
    Evidence evidence;
    /** Lower confidence bound of its share of failures. */
    double minimum_failure_share = 0;
  };

  /** Updates the ejections of a zone, at most once per RefreshInterval. */
  void refresh(const std::string& zone);
  /** Ends expired ejections. */
  void endEjections(const std::string& zone);
  /** @return candidates by pool, the worst first. */
  std::map<std::string, std::vector<Candidate>> candidates(const std::string& zone) const;
  bool isSufficient(std::uint64_t worker, const Evidence& evidence) const;
  /** Ejects the worst candidates of a pool as far as its limit permits. */
  void ejectWorst(const std::string& pool, const std::string& zone,
                  const std::vector<Candidate>& worst_first);
  /** @return the share of failures of the pool's workers other than the given ones. */
  double failureShareWithout(const std::string& pool,
                             const std::vector<std::uint64_t>& workers) const;
  /** @return the evidence since the worker was last reinstated. */
  Evidence newEvidence(const ZonedWorker& key) const;
  void eject(const ZonedWorker& key, const std::string& pool);
  std::vector<std::uint64_t> ejectedIn(const std::string& pool, const std::string& zone) const;
  std::size_t maximumEjected(const std::string& pool) const;

  base::Dispatcher& dispatcher_;
  EvidenceLedger& ledger_;
  workers::WorkerSnapshotPtr snapshot_ = std::make_shared<workers::WorkerSnapshot>();
  std::map<ZonedWorker, State> states_;
  /** By zone. */
  std::map<std::string, base::TimePoint> refreshed_at_;
};

}  // namespace switchsaddle::worker_health
