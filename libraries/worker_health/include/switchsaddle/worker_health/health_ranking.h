#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/worker_health/evidence_ledger.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::worker_health {

/** What is known of a worker's health. */
enum class HealthState : std::uint8_t {
  /** Too little was seen to say. */
  Unknown,
  Healthy,
  /** It looks worse than its peers, which may yet be chance. */
  Suspect,
  /** It is worse than its peers by more than chance and load explain. */
  Unhealthy
};

/** What a sick worker does. */
enum class Symptom : std::uint8_t { None, Stalls, SlowTransfers, Failures };

const char* healthStateName(HealthState state);
const char* symptomName(Symptom symptom);

/** One worker in the ranking, with what was seen of it. */
struct WorkerRank {
  std::string worker;
  std::string pool;
  std::string zone;
  HealthState state = HealthState::Unknown;
  /** What decided. */
  Symptom symptom = Symptom::None;
  /** How much more of its requests it spoils than explained, at least; 0 to 1. */
  double severity = 0;
  Evidence evidence;
  /** Shares that load and the rest of the pool explain. */
  double explained_stalls = 0;
  double explained_slow = 0;
  double explained_failures = 0;
  /** For how long it has been in this state. */
  base::Duration since{};
};

/** A change of the worker at the top. */
struct TopChange {
  base::TimePoint at;
  /** Empty where no worker is sick any more. */
  std::string worker;
  std::string before;
};

/**
 * Ranks the workers of each pool by stalls between events, slow transfers and failures, as the
 * fronts saw them, the sickest first. A worker is compared with its pool without those found sick;
 * stalls that prompts read beside the streams explain are taken off. Ranks follow the lower bound
 * of what was seen, so that few samples make nobody sick or healthy. Runs on the control strand.
 */
class HealthRanking {
 public:
  static constexpr std::size_t MaximumHistory = 64;

  HealthRanking(base::Dispatcher& dispatcher, EvidenceLedger& ledger)
      : dispatcher_(dispatcher), ledger_(ledger) {}

  void setWorkers(workers::WorkerSnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }
  /** Works the ranking out anew; to be called each second or so. Returns whether the worker at the
   * top has changed. */
  bool refresh();
  /** As of the last refresh; the sickest first, the healthy last. */
  const std::vector<WorkerRank>& ranks() const { return ranks_; }
  const std::deque<TopChange>& history() const { return history_; }
  /** Workers of which all fronts should tell, as they may be sick. */
  std::vector<std::uint64_t> questioned() const;

 private:
  struct Known {
    HealthState state = HealthState::Unknown;
    base::TimePoint since;
  };

  void rankPool(const std::string& pool, std::vector<WorkerRank>& ranks);
  void noteStates();
  bool noteTop();

  base::Dispatcher& dispatcher_;
  EvidenceLedger& ledger_;
  workers::WorkerSnapshotPtr snapshot_ = std::make_shared<workers::WorkerSnapshot>();
  std::vector<WorkerRank> ranks_;
  std::vector<std::uint64_t> questioned_;
  std::map<std::string, Known> known_;
  std::deque<TopChange> history_;
  std::string top_;
};

}  // namespace switchsaddle::worker_health
