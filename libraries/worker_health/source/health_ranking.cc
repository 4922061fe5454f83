#include "switchsaddle/worker_health/health_ranking.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>
#include <utility>

#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/dispatch_sample.h"
#include "worker_assessment.h"

namespace switchsaddle::worker_health {

namespace {

/** Iterations in which unhealthy workers are removed from the baseline of their pool. */
constexpr int MaximumIterations = 3;
constexpr std::size_t MaximumWatched = 12;

std::set<std::string> unhealthyWorkers(const std::vector<WorkerRank>& ranks) {
  std::set<std::string> unhealthy;
  for (const WorkerRank& rank : ranks) {
    if (rank.state == HealthState::Unhealthy) {
      unhealthy.insert(rank.worker);
    }
  }
  return unhealthy;
}

}  // namespace

const char* healthStateName(HealthState state) {
  switch (state) {
    case HealthState::Unknown:
      return "unknown";
    case HealthState::Healthy:
      return "healthy";
    case HealthState::Suspect:
      return "suspect";
    case HealthState::Unhealthy:
      return "sick";
  }
  return "unknown";
}

const char* symptomName(Symptom symptom) {
  switch (symptom) {
    case Symptom::None:
      return "";
    case Symptom::Stalls:
      return "stalls";
    case Symptom::SlowTransfers:
      return "slow-transfers";
    case Symptom::Failures:
      return "failures";
  }
  return "";
}

bool HealthRanking::refresh() {
  ledger_.removeExpired();
  ranks_.clear();
  for (auto& [pool, ranks] : collectEvidence()) {
    rankPool(pool, ranks);
    std::ranges::move(ranks, std::back_inserter(ranks_));
  }
  sortRanks();
  updateStates();
  return updateHistory();
}

std::map<std::string, std::vector<WorkerRank>> HealthRanking::collectEvidence() const {
  const std::map<std::uint64_t, Evidence> evidence = ledger_.ofAllWorkers();
  std::map<std::string, std::vector<WorkerRank>> pools;
  for (const auto& [id, worker] : snapshot_->workers) {
    if (worker.unreachable) {
      continue;
    }
    WorkerRank rank;
    rank.worker = id;
    rank.pool = worker.entry.service;
    rank.zone = worker.entry.zone;
    const auto found = evidence.find(workerKey(worker.entry));
    rank.evidence = found == evidence.end() ? Evidence{} : found->second;
    pools[rank.pool].push_back(std::move(rank));
  }
  return pools;
}

void HealthRanking::rankPool(const std::string& pool, std::vector<WorkerRank>& ranks) const {
  const Evidence evidence = ledger_.ofPool(poolKey(pool));
  std::set<std::string> unhealthy;
  for (int iteration = 0; iteration < MaximumIterations; ++iteration) {
    assessPool(evidence, unhealthy, ranks);
    std::set<std::string> found = unhealthyWorkers(ranks);
    if (found == unhealthy) {
      return;
    }
    unhealthy = std::move(found);
  }
}

void HealthRanking::assessPool(const Evidence& pool, const std::set<std::string>& unhealthy,
                               std::vector<WorkerRank>& ranks) {
  wire::HealthCounts without_unhealthy = pool.counts;
  for (const WorkerRank& rank : ranks) {
    if (unhealthy.contains(rank.worker)) {
      addCounts(without_unhealthy, rank.evidence.counts, -1);
    }
  }
  const auto workers = static_cast<double>(std::max<std::size_t>(1, ranks.size()));
  for (WorkerRank& rank : ranks) {
    wire::HealthCounts peers = without_unhealthy;
    if (!unhealthy.contains(rank.worker)) {
      addCounts(peers, rank.evidence.counts, -1);
    }
    assessWorker(rank, baselineOf(peers, pool.observed_s, workers));
  }
}

void HealthRanking::sortRanks() {
  const auto order = [](const WorkerRank& rank) {
    const bool is_suspect = rank.state == HealthState::Suspect;
    const bool is_healthy = rank.state == HealthState::Healthy;
    return std::tuple(-rank.severity, !is_suspect, is_healthy, rank.worker);
  };
  std::ranges::sort(ranks_, {}, order);
}

void HealthRanking::updateStates() {
  const base::TimePoint now = dispatcher_.now();
  watched_.clear();
  std::map<std::string, StateSince> states;
  for (WorkerRank& rank : ranks_) {
    const auto before = states_.find(rank.worker);
    const bool is_same = before != states_.end() && before->second.state == rank.state;
    const StateSince current{rank.state, is_same ? before->second.since : now};
    rank.since = now - current.since;
    states.emplace(rank.worker, current);
    const bool may_be_unhealthy =
        rank.state == HealthState::Unhealthy || rank.state == HealthState::Suspect;
    if (may_be_unhealthy && watched_.size() < MaximumWatched) {
      watched_.push_back(workerKey(snapshot_->workers.at(rank.worker).entry));
    }
  }
  states_ = std::move(states);
}

bool HealthRanking::updateHistory() {
  const bool unhealthy = !ranks_.empty() && ranks_.front().state == HealthState::Unhealthy;
  const std::string top = unhealthy ? ranks_.front().worker : std::string();
  if (top == top_) {
    return false;
  }
  history_.push_back({dispatcher_.now(), top, std::exchange(top_, top)});
  if (history_.size() > MaximumHistory) {
    history_.pop_front();
  }
  return true;
}

}  // namespace switchsaddle::worker_health
