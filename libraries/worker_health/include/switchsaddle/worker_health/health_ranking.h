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
  /** The symptom that decided the state. */
  Symptom symptom = Symptom::None;
  /** Lower confidence bound of the share of its requests that are degraded, minus the explained
   * share and weighted by symptom. */
  double severity = 0;
  Evidence evidence;
  /** Shares of degraded requests that load and the rest of the pool explain. */
  double explained_stalls = 0;
  double explained_slow = 0;
  double explained_failures = 0;
  /** Time in this state. */
  base::Duration since{};
};

/** A change of the worker that is ranked first. */
struct TopChange {
  base::TimePoint at;
  /** The worker now ranked first; empty if no worker is unhealthy any more. */
  std::string worker;
  std::string before;
};

/**
 * Ranks the workers of each pool by stalls between events, slow transfers and failures, the most
 * unhealthy first. A worker is compared with its pool without the unhealthy workers; stalls that
 * the prefill of long prompts explains are subtracted. Uses confidence bounds, so that a few
 * samples cannot classify a worker as unhealthy or healthy. Runs on the control strand.
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
  /** @return workers on which all fronts should report, as they may be unhealthy. */
  const std::vector<std::uint64_t>& questioned() const { return watched_; }

 private:
  struct StateSince {
    HealthState state = HealthState::Unknown;
    base::TimePoint since;
  };

  /** @return a rank with its evidence for each listed worker, by pool. */
  std::map<std::string, std::vector<WorkerRank>> collectEvidence() const;
  void rankPool(const std::string& pool, std::vector<WorkerRank>& ranks) const;
  /** Assesses each worker against the pool without the unhealthy workers and itself. */
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
