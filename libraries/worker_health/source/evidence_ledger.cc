#include "switchsaddle/worker_health/evidence_ledger.h"

#include <algorithm>

#include "switchsaddle/worker_health/decayed_counts.h"

namespace switchsaddle::worker_health {

namespace {

constexpr base::Duration RowLifetime = std::chrono::seconds(120);
/** Maximum age at which a front's number of requests in flight is counted. */
constexpr base::Duration InFlightLifetime = std::chrono::seconds(3);
constexpr base::Duration FrontLifetime = std::chrono::seconds(20);
/** Recent dispatches needed to assess a front, and needed of its peers. */
constexpr double MinimumToAssessFront = 6;
/** A front is unreliable if at least UnreliableFailureShare of its dispatches fail while less than
 * PeerFailureShare of its peers' dispatches fail. */
constexpr double UnreliableFailureShare = 0.5;
constexpr double PeerFailureShare = 0.25;

}  // namespace

void EvidenceLedger::update(const FrontKey& key, const std::string& zone,
                            const wire::HealthReport& report) {
  if (report.empty()) {
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  Front& front = fronts_[key];
  front.zone = zone;
  front.last_seen = now;
  front.observed_s = report.observed_s;
  front.pools.clear();
  for (const wire::PoolHealth& pool : report.pools) {
    front.pools[pool.pool] = pool;
  }
  for (const wire::WorkerHealth& health : report.workers) {
    front.workers[health.worker] = {health, now};
    recordFailures(health);
  }
  evictRows(front, now);
}

void EvidenceLedger::evictRows(Front& front, base::TimePoint now) {
  std::erase_if(front.workers,
                [now](const auto& item) { return now - item.second.last_seen > RowLifetime; });
  while (front.workers.size() > MaximumWorkers) {
    front.workers.erase(std::ranges::min_element(
        front.workers, {}, [](const auto& item) { return item.second.last_seen; }));
  }
}

void EvidenceLedger::recordFailures(const wire::WorkerHealth& health) {
  if (health.recent_failed >= MinimumRecentFailures) {
    failing_since_.try_emplace(health.worker, dispatcher_.now());
  }
}

void EvidenceLedger::removeExpired() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(fronts_,
                [now](const auto& item) { return now - item.second.last_seen > FrontLifetime; });
  std::erase_if(failing_since_,
                [this](const auto& item) { return ofWorker(item.first).failing_fronts == 0; });
}

bool EvidenceLedger::isReliable(const Front& front) const {
  return std::ranges::none_of(front.pools, [&](const auto& item) {
    return failsMostly(item.second) && peersSucceed(front, item.first);
  });
}

bool EvidenceLedger::failsMostly(const wire::PoolHealth& pool) {
  return pool.recent_dispatched >= MinimumToAssessFront &&
         pool.recent_failed >= UnreliableFailureShare * pool.recent_dispatched;
}

bool EvidenceLedger::peersSucceed(const Front& front, std::uint64_t pool) const {
  double dispatched = 0;
  double failed = 0;
  for (const auto& [key, peer] : fronts_) {
    const auto found = peer.pools.find(pool);
    if (&peer != &front && found != peer.pools.end()) {
      dispatched += found->second.recent_dispatched;
      failed += found->second.recent_failed;
    }
  }
  return dispatched >= MinimumToAssessFront && failed < PeerFailureShare * dispatched;
}

void EvidenceLedger::addRow(Evidence& evidence, const Front& front, const Row& row,
                            base::TimePoint now) {
  const base::Duration age = now - row.last_seen;
  const double recent = decayFactor(age, RecentHalfLife);
  evidence.recent_dispatched += row.health.recent_dispatched * recent;
  evidence.recent_failed += row.health.recent_failed * recent;
  addCounts(evidence.counts, row.health.counts, decayFactor(age, LongHalfLife));
  evidence.failing_fronts += row.health.recent_failed * recent >= MinimumRecentFailures ? 1 : 0;
  evidence.reporting_fronts += 1;
  evidence.in_flight += age <= InFlightLifetime ? row.health.in_flight : 0;
  evidence.observed_s = std::max(evidence.observed_s, front.observed_s);
}

std::map<std::uint64_t, Evidence> EvidenceLedger::ofAllWorkers() const {
  const base::TimePoint now = dispatcher_.now();
  std::map<std::uint64_t, Evidence> workers;
  for (const auto& [key, front] : fronts_) {
    if (!isReliable(front)) {
      continue;
    }
    for (const auto& [worker, row] : front.workers) {
      addRow(workers[worker], front, row, now);
    }
  }
  return workers;
}

Evidence EvidenceLedger::ofWorker(std::uint64_t worker,
                                  const std::optional<std::string>& zone) const {
  const base::TimePoint now = dispatcher_.now();
  Evidence evidence;
  for (const auto& [key, front] : fronts_) {
    const auto row = front.workers.find(worker);
    const bool is_relevant = row != front.workers.end() && (!zone || *zone == front.zone);
    if (is_relevant && isReliable(front)) {
      addRow(evidence, front, row->second, now);
    }
  }
  return evidence;
}

Evidence EvidenceLedger::ofPool(std::uint64_t pool) const {
  const base::TimePoint now = dispatcher_.now();
  Evidence evidence;
  for (const auto& [key, front] : fronts_) {
    const auto found = front.pools.find(pool);
    if (found == front.pools.end() || !isReliable(front)) {
      continue;
    }
    const wire::PoolHealth& health = found->second;
    const base::Duration age = now - front.last_seen;
    const double recent = decayFactor(age, RecentHalfLife);
    evidence.recent_dispatched += health.recent_dispatched * recent;
    evidence.recent_failed += health.recent_failed * recent;
    addCounts(evidence.counts, health.counts, decayFactor(age, LongHalfLife));
    evidence.reporting_fronts += 1;
    evidence.observed_s = std::max(evidence.observed_s, front.observed_s);
  }
  return evidence;
}

}  // namespace switchsaddle::worker_health
