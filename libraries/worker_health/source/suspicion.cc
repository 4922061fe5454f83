#include "switchsaddle/worker_health/suspicion.h"

#include <algorithm>
#include <cmath>

#include "switchsaddle/worker_health/decayed_counts.h"
#include "switchsaddle/worker_health/dispatch_sample.h"
#include "switchsaddle/worker_health/share_bounds.h"

namespace switchsaddle::worker_health {

namespace {

constexpr base::Duration RefreshInterval = std::chrono::milliseconds(100);
/** Part of a pool that may be kept away from. */
constexpr double AvoidedShare = 0.34;
/** A part of failures that is borne, and how many times that of the rest of the pool is. */
constexpr double BorneShare = 0.12;
constexpr double BorneRatio = 3;
/** Failures without which nothing is decided, and those that need not wait for all fronts' word. */
constexpr double FewestFailures = 1.5;
constexpr double ManyFailures = 4;
/** What a zone's fronts saw decides alone from so many dispatches on. */
constexpr double FewestOfZone = 3;
/** Time for all fronts to tell of a worker that one accuses. */
constexpr base::Duration ReportingTime = std::chrono::milliseconds(600);
constexpr base::Duration FirstHold = std::chrono::seconds(3);
constexpr base::Duration LongestHold = std::chrono::seconds(24);
/** A worker that did well for so long begins with the first hold again. */
constexpr base::Duration Forgiven = std::chrono::seconds(60);
constexpr std::size_t MaximumWatched = 16;

double decayOf(base::Duration age) {
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(RecentHalfLife));
}

}  // namespace

wire::HealthAdvice Suspicion::advice(const std::string& zone) {
  refresh(zone);
  wire::HealthAdvice advice;
  advice.known = true;
  for (const auto& [worker, since] : ledger_.accusedSince()) {
    if (advice.watched.size() < MaximumWatched) {
      advice.watched.push_back(worker);
    }
  }
  for (const auto& [place, state] : states_) {
    if (state.avoided && place.zone == zone) {
      advice.avoided.push_back(place.worker);
    }
  }
  return advice;
}

bool Suspicion::isAvoided(std::uint64_t worker) const {
  return std::ranges::any_of(states_, [worker](const auto& item) {
    return item.first.worker == worker && item.second.avoided;
  });
}

void Suspicion::refresh(const std::string& zone) {
  const base::TimePoint now = dispatcher_.now();
  const auto refreshed = refreshed_at_.find(zone);
  if (refreshed != refreshed_at_.end() && now - refreshed->second < RefreshInterval) {
    return;
  }
  refreshed_at_[zone] = now;
  ledger_.forgetUnresponsive();
  release(zone);
  if (ledger_.accusedSince().empty()) {
    return;
  }
  for (const auto& [pool, worst_first] : candidates(zone)) {
    avoidWorst(pool, zone, worst_first);
  }
}

std::map<std::string, std::vector<Suspicion::Candidate>> Suspicion::candidates(
    const std::string& zone) const {
  std::map<std::string, std::vector<Candidate>> pools;
  for (const auto& [id, worker] : snapshot_->workers) {
    const std::uint64_t key = workerKey(worker.entry);
    const auto state = states_.find(Place{key, zone});
    const bool avoided = state != states_.end() && state->second.avoided;
    if (avoided || !worker.usable() || !ledger_.accusedSince().contains(key)) {
      continue;
    }
    const Evidence evidence = newEvidence(Place{key, zone});
    if (isEnough(key, evidence)) {
      const double surely = shareBounds(evidence.recent_failed, evidence.recent_dispatched).low;
      pools[worker.entry.service].push_back({key, evidence, surely});
    }
  }
  for (auto& [pool, found] : pools) {
    std::ranges::sort(found, std::greater<>(), &Candidate::surely_failed);
  }
  return pools;
}

bool Suspicion::isEnough(std::uint64_t worker, const Evidence& evidence) const {
  const base::TimePoint accused = ledger_.accusedSince().at(worker);
  const bool all_told = dispatcher_.now() - accused >= ReportingTime;
  const bool several = evidence.accusing_fronts >= std::min<std::size_t>(2, ledger_.fronts());
  return several && evidence.recent_failed >= (all_told ? FewestFailures : ManyFailures);
}

void Suspicion::avoidWorst(const std::string& pool, const std::string& zone,
                           const std::vector<Candidate>& worst_first) {
  const std::size_t most = mayAvoid(pool);
  const std::vector<std::uint64_t> avoided = avoidedIn(pool, zone);
  // What the rest of the pool fails is usual; the worst, which may be avoided, are no measure.
  const Evidence all = ledger_.ofPool(poolKey(pool));
  double dispatched = all.recent_dispatched;
  double failed = all.recent_failed;
  const auto leave_out = [&](std::uint64_t worker) {
    const Evidence everywhere = ledger_.ofWorker(worker);
    dispatched -= everywhere.recent_dispatched;
    failed -= everywhere.recent_failed;
  };
  std::ranges::for_each(avoided, leave_out);
  std::size_t more = most - std::min(most, avoided.size());
  for (std::size_t index = 0; index < std::min(more, worst_first.size()); ++index) {
    leave_out(worst_first[index].worker);
  }
  const double usual = dispatched > 0 ? std::max(0.0, failed) / dispatched : 0;
  const double borne = std::max(BorneShare, BorneRatio * usual);
  for (const Candidate& candidate : worst_first) {
    if (more == 0 || candidate.surely_failed <= borne) {
      return;
    }
    avoid(Place{candidate.worker, zone}, pool);
    --more;
  }
}

void Suspicion::release(const std::string& zone) {
  const base::TimePoint now = dispatcher_.now();
  for (auto& [place, state] : states_) {
    if (place.zone == zone && state.avoided && now - state.since >= state.hold) {
      const Evidence seen = ledger_.ofWorker(place.worker, zone);
      state.avoided = false;
      state.since = now;
      state.old_dispatched = seen.recent_dispatched;
      state.old_failed = seen.recent_failed;
    }
  }
  std::erase_if(states_, [now](const auto& item) {
    return !item.second.avoided && now - item.second.since > Forgiven;
  });
}

Evidence Suspicion::newEvidence(const Place& place) const {
  Evidence evidence = ledger_.ofWorker(place.worker, place.zone);
  if (evidence.recent_dispatched < FewestOfZone) {
    evidence = ledger_.ofWorker(place.worker);
  }
  const auto state = states_.find(place);
  if (state != states_.end()) {
    const double old = decayOf(dispatcher_.now() - state->second.since);
    evidence.recent_dispatched -= state->second.old_dispatched * old;
    evidence.recent_failed -= state->second.old_failed * old;
  }
  return evidence;
}

void Suspicion::avoid(const Place& place, const std::string& pool) {
  const auto [found, is_new] = states_.try_emplace(place);
  State& state = found->second;
  state.hold = is_new ? FirstHold : std::min<base::Duration>(2 * state.hold, LongestHold);
  state.pool = pool;
  state.avoided = true;
  state.since = dispatcher_.now();
}

std::vector<std::uint64_t> Suspicion::avoidedIn(const std::string& pool,
                                                const std::string& zone) const {
  std::vector<std::uint64_t> avoided;
  for (const auto& [place, state] : states_) {
    if (state.avoided && state.pool == pool && place.zone == zone) {
      avoided.push_back(place.worker);
    }
  }
  return avoided;
}

std::size_t Suspicion::mayAvoid(const std::string& pool) const {
  const auto usable = std::ranges::count_if(snapshot_->workers, [&pool](const auto& item) {
    return item.second.entry.service == pool && item.second.usable();
  });
  return static_cast<std::size_t>(static_cast<double>(usable) * AvoidedShare);
}

}  // namespace switchsaddle::worker_health
