#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/worker_health/evidence_ledger.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::worker_health {

/**
 * Decides at a core which workers are to get no requests for now, since they fail much more of them
 * than the rest of their pool, whatever their own word is. Judged for each zone of fronts apart,
 * since a worker can fail some callers only.
 *
 * Invariants: never more than a part of a pool is kept away from; the word of one front alone is
 * not enough, unless there is no other; a worker comes back after a while, and then has to fail
 * anew to be kept away from again, for longer each time. Runs on the control strand.
 */
class Suspicion {
 public:
  explicit Suspicion(base::Dispatcher& dispatcher, EvidenceLedger& ledger)
      : dispatcher_(dispatcher), ledger_(ledger) {}

  void setWorkers(workers::WorkerSnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }
  /** What the fronts of a zone are to be told. */
  wire::HealthAdvice advice(const std::string& zone);
  /** Whether the fronts of some zone are told to keep away from the worker. */
  bool isAvoided(std::uint64_t worker) const;

 private:
  struct Place {
    std::uint64_t worker = 0;
    std::string zone;

    auto operator<=>(const Place&) const = default;
  };
  struct State {
    std::string pool;
    bool avoided = false;
    base::TimePoint since;
    base::Duration hold{};
    /** What had been seen when it came back, which does not count again. */
    double old_dispatched = 0;
    double old_failed = 0;
  };
  /** A worker that may have to be avoided. */
  struct Candidate {
    std::uint64_t worker = 0;
    Evidence evidence;
    /** The least part of requests that it fails, for all that is known. */
    double surely_failed = 0;
  };

  void refresh(const std::string& zone);
  void release(const std::string& zone);
  /** Of each pool, the workers of which enough is known, the worst first. */
  std::map<std::string, std::vector<Candidate>> candidates(const std::string& zone) const;
  bool isEnough(std::uint64_t worker, const Evidence& evidence) const;
  void avoidWorst(const std::string& pool, const std::string& zone,
                  const std::vector<Candidate>& worst_first);
  Evidence newEvidence(const Place& place) const;
  void avoid(const Place& place, const std::string& pool);
  std::vector<std::uint64_t> avoidedIn(const std::string& pool, const std::string& zone) const;
  std::size_t mayAvoid(const std::string& pool) const;

  base::Dispatcher& dispatcher_;
  EvidenceLedger& ledger_;
  workers::WorkerSnapshotPtr snapshot_ = std::make_shared<workers::WorkerSnapshot>();
  std::map<Place, State> states_;
  std::map<std::string, base::TimePoint> refreshed_at_;
};

}  // namespace switchsaddle::worker_health
