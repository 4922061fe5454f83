#include "switchsaddle/worker_health/outlier_detector.h"

#include <algorithm>

#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/dispatch_sample.h"
#include "switchsaddle/worker_health/share_bounds.h"

namespace switchsaddle::worker_health {

namespace {

constexpr base::Duration RefreshInterval = std::chrono::milliseconds(100);
/** Share of a pool that may be ejected. */
constexpr double MaximumEjectedShare = 0.34;
/** Tolerated share of failures, and tolerated multiple of the rest of the pool's share. */
constexpr double ToleratedFailureShare = 0.12;
constexpr double ToleratedRatio = 3;
/** Failures needed to eject a worker after all fronts have reported, and before that. */
constexpr double MinimumFailures = 1.5;
constexpr double SufficientFailures = 4;
/** With fewer dispatches from a zone's fronts, the evidence of all zones is used. */
constexpr double MinimumZoneDispatches = 3;
/** Time in which all fronts report on a worker that is watched. */
constexpr base::Duration ReportingTime = std::chrono::milliseconds(600);
constexpr base::Duration BaseEjectionTime = std::chrono::seconds(3);
constexpr base::Duration MaximumEjectionTime = std::chrono::seconds(24);
/** Time since a worker's reinstatement after which its next ejection lasts BaseEjectionTime again.
 */
constexpr base::Duration EjectionHistoryLifetime = std::chrono::seconds(60);
constexpr std::size_t MaximumWatched = 16;

}  // namespace

wire::HealthAdvice OutlierDetector::advice(const std::string& zone) {
  refresh(zone);
  wire::HealthAdvice advice;
  advice.known = true;
  for (const auto& [worker, since] : ledger_.failingSince()) {
    if (advice.watched.size() < MaximumWatched) {
      advice.watched.push_back(worker);
    }
  }
  for (const auto& [key, state] : states_) {
    if (state.ejected && key.zone == zone) {
      advice.ejected.push_back(key.worker);
    }
  }
  return advice;
}

void OutlierDetector::refresh(const std::string& zone) {
  const base::TimePoint now = dispatcher_.now();
  const auto refreshed = refreshed_at_.find(zone);
  if (refreshed != refreshed_at_.end() && now - refreshed->second < RefreshInterval) {
    return;
  }
  refreshed_at_[zone] = now;
  ledger_.removeExpired();
  endEjections(zone);
  if (ledger_.failingSince().empty()) {
    return;
  }
  for (const auto& [pool, worst_first] : candidates(zone)) {
    ejectWorst(pool, zone, worst_first);
  }
}

std::map<std::string, std::vector<OutlierDetector::Candidate>> OutlierDetector::candidates(
    const std::string& zone) const {
  std::map<std::string, std::vector<Candidate>> pools;
  for (const auto& [id, worker] : snapshot_->workers) {
    const std::uint64_t key = workerKey(worker.entry);
    const auto state = states_.find(ZonedWorker{key, zone});
    const bool ejected = state != states_.end() && state->second.ejected;
    if (ejected || !worker.usable() || !ledger_.failingSince().contains(key)) {
      continue;
    }
    const Evidence evidence = newEvidence(ZonedWorker{key, zone});
    if (isSufficient(key, evidence)) {
      const double share = shareBounds(evidence.recent_failed, evidence.recent_dispatched).low;
      pools[worker.entry.service].push_back({key, evidence, share});
    }
  }
  for (auto& [pool, found] : pools) {
    std::ranges::sort(found, std::greater<>(), &Candidate::minimum_failure_share);
  }
  return pools;
}

bool OutlierDetector::isSufficient(std::uint64_t worker, const Evidence& evidence) const {
  const base::TimePoint failing_since = ledger_.failingSince().at(worker);
  const bool all_reported = dispatcher_.now() - failing_since >= ReportingTime;
  const bool several_fronts = evidence.failing_fronts >= std::min<std::size_t>(2, ledger_.fronts());
  const double needed = all_reported ? MinimumFailures : SufficientFailures;
  return several_fronts && evidence.recent_failed >= needed;
}

void OutlierDetector::ejectWorst(const std::string& pool, const std::string& zone,
                                 const std::vector<Candidate>& worst_first) {
  // The baseline is the pool without its ejected workers and without the worst candidates, which
  // this call may eject.
  std::vector<std::uint64_t> excluded = ejectedIn(pool, zone);
  const std::size_t maximum = maximumEjected(pool);
  std::size_t remaining = maximum - std::min(maximum, excluded.size());
  for (std::size_t index = 0; index < std::min(remaining, worst_first.size()); ++index) {
    excluded.push_back(worst_first[index].worker);
  }
  const double tolerated =
      std::max(ToleratedFailureShare, ToleratedRatio * failureShareWithout(pool, excluded));
  for (const Candidate& candidate : worst_first) {
    if (remaining == 0 || candidate.minimum_failure_share <= tolerated) {
      return;
    }
    eject(ZonedWorker{candidate.worker, zone}, pool);
    --remaining;
  }
}

double OutlierDetector::failureShareWithout(const std::string& pool,
                                            const std::vector<std::uint64_t>& workers) const {
  const Evidence all = ledger_.ofPool(poolKey(pool));
  double dispatched = all.recent_dispatched;
  double failed = all.recent_failed;
  for (const std::uint64_t worker : workers) {
    const Evidence evidence = ledger_.ofWorker(worker);
    dispatched -= evidence.recent_dispatched;
    failed -= evidence.recent_failed;
  }
  return dispatched > 0 ? std::max(0.0, failed) / dispatched : 0;
}

void OutlierDetector::endEjections(const std::string& zone) {
  const base::TimePoint now = dispatcher_.now();
  for (auto& [key, state] : states_) {
    if (key.zone == zone && state.ejected && now - state.since >= state.ejection_time) {
      const Evidence evidence = ledger_.ofWorker(key.worker, zone);
      state.ejected = false;
      state.since = now;
      state.dispatched_at_reinstatement = evidence.recent_dispatched;
      state.failed_at_reinstatement = evidence.recent_failed;
    }
  }
  std::erase_if(states_, [now](const auto& item) {
    return !item.second.ejected && now - item.second.since > EjectionHistoryLifetime;
  });
}

Evidence OutlierDetector::newEvidence(const ZonedWorker& key) const {
  Evidence evidence = ledger_.ofWorker(key.worker, key.zone);
  if (evidence.recent_dispatched < MinimumZoneDispatches) {
    evidence = ledger_.ofWorker(key.worker);
  }
  const auto state = states_.find(key);
  if (state != states_.end()) {
    const double remaining = decayFactor(dispatcher_.now() - state->second.since, RecentHalfLife);
    evidence.recent_dispatched -= state->second.dispatched_at_reinstatement * remaining;
    evidence.recent_failed -= state->second.failed_at_reinstatement * remaining;
  }
  return evidence;
}

void OutlierDetector::eject(const ZonedWorker& key, const std::string& pool) {
  const auto [found, is_new] = states_.try_emplace(key);
  State& state = found->second;
  state.ejection_time =
      is_new ? BaseEjectionTime
             : std::min<base::Duration>(2 * state.ejection_time, MaximumEjectionTime);
  state.pool = pool;
  state.ejected = true;
  state.since = dispatcher_.now();
}

std::vector<std::uint64_t> OutlierDetector::ejectedIn(const std::string& pool,
                                                      const std::string& zone) const {
  std::vector<std::uint64_t> ejected;
  for (const auto& [key, state] : states_) {
    if (state.ejected && state.pool == pool && key.zone == zone) {
      ejected.push_back(key.worker);
    }
  }
  return ejected;
}

std::size_t OutlierDetector::maximumEjected(const std::string& pool) const {
  const auto usable = std::ranges::count_if(snapshot_->workers, [&pool](const auto& item) {
    return item.second.entry.service == pool && item.second.usable();
  });
  return static_cast<std::size_t>(static_cast<double>(usable) * MaximumEjectedShare);
}

}  // namespace switchsaddle::worker_health
