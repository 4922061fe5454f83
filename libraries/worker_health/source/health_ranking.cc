#include "switchsaddle/worker_health/health_ranking.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/dispatch_sample.h"
#include "switchsaddle/worker_health/share_bounds.h"

namespace switchsaddle::worker_health {

namespace {

/** Shares of spoiled requests that nobody is taken out for, whatever the pool does. */
constexpr double BorneStalls = 0.08;
constexpr double BorneSlow = 0.12;
constexpr double BorneFailures = 0.05;
/** How many times what its pool does a worker may do. */
constexpr double BorneRatio = 2;
/** A failed request is worse than one that came late. */
constexpr double FailureWeight = 1.5;
/** The upper bound may lie so far above what is borne for a healthy worker. */
constexpr double HealthyMargin = 0.06;
constexpr double FewestToRank = 12;
/** Rounds in which sick workers are taken out of what is usual. */
constexpr int Rounds = 3;
constexpr std::size_t MaximumQuestioned = 12;

/** What of a pool the worker is compared with. */
struct Usual {
  double stalls = 0;
  double slow = 0;
  double failures = 0;
};

double shareOf(double bad, double counted) {
  return counted > 0 ? std::clamp(bad / counted, 0.0, 1.0) : 0;
}

/** Part of the streams that met the reading of a long prompt beside them, at one worker or, on the
 * average, at each of several. */
double metLongPrompt(const wire::HealthCounts& counts, double observed_s, double workers) {
  if (counts.timed <= 0 || observed_s <= 0) {
    return 0;
  }
  const double prompts_per_s = counts.long_prompts / observed_s / workers;
  const double stream_s = counts.stream_s / counts.timed;
  return 1 - std::exp(-prompts_per_s * stream_s);
}

/** What the workers of a pool spoil beyond what long prompts explain. */
Usual usualOf(const wire::HealthCounts& counts, double observed_s, double workers) {
  const double met = metLongPrompt(counts, observed_s, workers);
  return {std::max(0.0, shareOf(counts.stalled, counts.timed) - met),
          std::max(0.0, shareOf(counts.slow, counts.timed) - met),
          shareOf(counts.failed, counts.dispatched)};
}

/** One kind of evidence against a worker. */
struct Signal {
  Symptom symptom = Symptom::None;
  double bad = 0;
  double counted = 0;
  double borne = 0;
  double weight = 1;

  ShareBounds bounds() const { return shareBounds(bad, counted); }
  double severity() const { return std::max(0.0, bounds().low - borne) * weight; }
  bool isUnhealthy() const { return counted > 0 && bounds().low > borne; }
  bool looksUnhealthy() const { return counted > 0 && shareOf(bad, counted) > borne; }
  bool looksHealthy() const { return counted <= 0 || bounds().high < borne + HealthyMargin; }
};

void checkHistory(WorkerRank& rank, const Usual& usual) {
  const wire::HealthCounts& counts = rank.evidence.counts;
  const double met = metLongPrompt(counts, rank.evidence.observed_s, 1);
  rank.explained_stalls = std::min(1.0, std::max(BorneStalls, BorneRatio * usual.stalls) + met);
  rank.explained_slow = std::min(1.0, std::max(BorneSlow, BorneRatio * usual.slow) + met);
  rank.explained_failures = std::max(BorneFailures, BorneRatio * usual.failures);
  const std::array signals{
      Signal{Symptom::Stalls, counts.stalled, counts.timed, rank.explained_stalls},
      Signal{Symptom::SlowTransfers, counts.slow, counts.timed, rank.explained_slow},
      Signal{Symptom::Failures, counts.failed, counts.dispatched, rank.explained_failures,
             FailureWeight}};
  rank.severity = 0;
  rank.symptom = Symptom::None;
  rank.state = HealthState::Unknown;
  if (counts.dispatched < FewestToRank) {
    return;
  }
  const Signal& worst = *std::ranges::max_element(signals, {}, &Signal::severity);
  if (worst.isUnhealthy()) {
    rank.severity = worst.severity();
    rank.symptom = worst.symptom;
    rank.state = HealthState::Unhealthy;
  } else if (std::ranges::any_of(signals, &Signal::looksUnhealthy)) {
    rank.state = HealthState::Suspect;
  } else if (std::ranges::all_of(signals, &Signal::looksHealthy)) {
    rank.state = HealthState::Healthy;
  }
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
  ledger_.forgetUnresponsive();
  const std::map<std::uint64_t, Evidence> evidence = ledger_.ofAllWorkers();
  std::map<std::string, std::vector<WorkerRank>> pools;
  for (const auto& [id, worker] : snapshot_->workers) {
    if (worker.gone) {
      continue;
    }
    WorkerRank rank;
    rank.worker = id;
    rank.pool = worker.entry.service;
    rank.zone = worker.entry.zone;
    const auto seen = evidence.find(workerKey(worker.entry));
    rank.evidence = seen == evidence.end() ? Evidence{} : seen->second;
    pools[rank.pool].push_back(std::move(rank));
  }
  ranks_.clear();
  for (auto& [pool, ranks] : pools) {
    rankPool(pool, ranks);
    std::ranges::move(ranks, std::back_inserter(ranks_));
  }
  const auto order = [](const WorkerRank& rank) {
    const bool looks_sick = rank.state == HealthState::Suspect;
    const bool is_known = rank.state == HealthState::Healthy;
    return std::tuple(-rank.severity, !looks_sick, is_known, rank.worker);
  };
  std::ranges::sort(ranks_, {}, order);
  noteStates();
  return noteTop();
}

void HealthRanking::rankPool(const std::string& pool, std::vector<WorkerRank>& ranks) {
  const Evidence all = ledger_.ofPool(poolKey(pool));
  std::set<std::string> unhealthy;
  for (int round = 0; round < Rounds; ++round) {
    wire::HealthCounts well = all.counts;
    for (const WorkerRank& rank : ranks) {
      if (unhealthy.contains(rank.worker)) {
        addCounts(well, rank.evidence.counts, -1);
      }
    }
    for (WorkerRank& rank : ranks) {
      wire::HealthCounts others = well;
      if (!unhealthy.contains(rank.worker)) {
        addCounts(others, rank.evidence.counts, -1);
      }
      const auto workers = static_cast<double>(std::max<std::size_t>(1, ranks.size()));
      checkHistory(rank, usualOf(others, all.observed_s, workers));
    }
    std::set<std::string> found;
    for (const WorkerRank& rank : ranks) {
      if (rank.state == HealthState::Unhealthy) {
        found.insert(rank.worker);
      }
    }
    if (found == unhealthy) {
      return;
    }
    unhealthy = std::move(found);
  }
}

void HealthRanking::noteStates() {
  const base::TimePoint now = dispatcher_.now();
  questioned_.clear();
  std::map<std::string, Known> known;
  for (WorkerRank& rank : ranks_) {
    const auto before = known_.find(rank.worker);
    const bool same = before != known_.end() && before->second.state == rank.state;
    const Known now_known{rank.state, same ? before->second.since : now};
    rank.since = now - now_known.since;
    known.emplace(rank.worker, now_known);
    const bool in_question =
        rank.state == HealthState::Unhealthy || rank.state == HealthState::Suspect;
    if (in_question && questioned_.size() < MaximumQuestioned) {
      questioned_.push_back(workerKey(snapshot_->workers.at(rank.worker).entry));
    }
  }
  known_ = std::move(known);
}

bool HealthRanking::noteTop() {
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

std::vector<std::uint64_t> HealthRanking::questioned() const {
  return questioned_;
}

}  // namespace switchsaddle::worker_health
