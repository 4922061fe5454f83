#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/worker_health/evidence_ledger.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::worker_health {

/** Health of a worker as assessed from the fronts' reports. */
enum class HealthState : std::uint8_t {
  /** Too few samples. */
  Unknown,
  Healthy,
  /** Worse than its peers, but not significantly. */
  Suspect,
  /** Significantly worse than its peers, by more than load explains. */
  Unhealthy
};

/** The kind of degradation that makes a worker unhealthy. */
enum class Symptom : std::uint8_t { None, Stalls, SlowTransfers, Failures };

/** @return the name shown in documents of the control interface. */
const char* healthStateName(HealthState state);
const char* symptomName(Symptom symptom);

/** One worker in the ranking, with the evidence. */
struct WorkerRank {
  std::string worker;
  std::string pool;
  std::string zone;
  HealthState state = HealthState::Unknown;
  /** The symptom that makes the worker unhealthy; None in all other states. */
  Symptom symptom = Symptom::None;
  /**
   * The lower confidence bound of the share of degraded requests, minus the explained share, times
   * the weight of the symptom. 0 unless the worker is unhealthy.
   */
  double severity = 0;
  Evidence evidence;
  /**
   * Shares of degraded requests that the baseline of the pool explains, for stalls and slow
   * transfers also long prompts. Only a higher share counts against the worker.
   */
  double explained_stalls = 0;
  double explained_slow = 0;
  double explained_failures = 0;
  /** Time in this state. */
  base::Duration since{};
};

/** Records that another unhealthy worker, or none, is now ranked first. */
struct TopChange {
  base::TimePoint at;
  /** The worker now ranked first; empty if no worker is unhealthy any more. */
  std::string worker;
  /** The worker ranked first before; empty if no worker was unhealthy. */
  std::string before;
};

/**
 * Ranks the workers of each pool by stalls between events, slow transfers and failures, the most
 * unhealthy first. Compares a worker with the other workers of its pool, except the unhealthy
 * ones, and subtracts stalls that the prefill of long prompts explains. Uses confidence bounds, so
 * that a few samples cannot classify a worker as unhealthy or healthy. Runs on the control strand.
 */
class HealthRanking {
 public:
  static constexpr std::size_t MaximumHistory = 64;

  /** Both must outlive this object. */
  HealthRanking(base::Dispatcher& dispatcher, EvidenceLedger& ledger)
      : dispatcher_(dispatcher), ledger_(ledger) {}

  void setWorkers(workers::WorkerSnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }
  /** Recomputes the ranking; called about once a second.
   *
   * @return whether the worker ranked first has changed. */
  bool refresh();
  /** @return the ranking of the last refresh: the most unhealthy first, the healthy last. */
  const std::vector<WorkerRank>& ranks() const { return ranks_; }
  /** @return changes of the worker ranked first, oldest first. */
  const std::deque<TopChange>& history() const { return history_; }
  /** @return keys of workers that may be unhealthy; all fronts should report on them. */
  const std::vector<std::uint64_t>& questioned() const { return watched_; }

 private:
  struct StateSince {
    HealthState state = HealthState::Unknown;
    base::TimePoint since;
  };

  /** @return the reachable workers with their evidence, by pool; they are not assessed yet. */
  std::map<std::string, std::vector<WorkerRank>> collectEvidence() const;
  void rankPool(const std::string& pool, std::vector<WorkerRank>& ranks) const;
  /** Assesses each worker against the other workers of its pool, except the unhealthy ones. */
  static void assessPool(const Evidence& pool, const std::set<std::string>& unhealthy,
                         std::vector<WorkerRank>& ranks);
  void sortRanks();
  void updateStates();
  bool updateHistory();

  base::Dispatcher& dispatcher_;
  EvidenceLedger& ledger_;
  workers::WorkerSnapshotPtr snapshot_ = std::make_shared<workers::WorkerSnapshot>();
  std::vector<WorkerRank> ranks_;
  std::vector<std::uint64_t> watched_;
  /** By worker id. */
  std::map<std::string, StateSince> states_;
  std::deque<TopChange> history_;
  /** The unhealthy worker ranked first; empty if there is none. */
  std::string top_;
};

}  // namespace switchsaddle::worker_health
