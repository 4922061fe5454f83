#include "switchsaddle/worker_health/evidence_ledger.h"

#include <algorithm>
#include <cmath>

#include "switchsaddle/worker_health/decayed_counts.h"

namespace switchsaddle::worker_health {

namespace {

constexpr base::Duration RowMemory = std::chrono::seconds(120);
/** What a front had on a worker is worth nothing later. */
constexpr base::Duration InFlightMemory = std::chrono::seconds(3);
constexpr base::Duration FrontMemory = std::chrono::seconds(20);
/** A front is judged by no fewer dispatches of late. */
constexpr double MinimumToAssessFront = 6;
/** Part of its dispatches that fails from which a front is not believed, unless the others find so
 * large a part too. */
constexpr double FailsEverywhere = 0.5;
constexpr double OthersFail = 0.25;

double factorOf(base::Duration age, base::Duration half_life) {
  return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(half_life));
}

}  // namespace

void EvidenceLedger::update(const FrontKey& key, const std::string& zone,
                            const wire::HealthReport& statement) {
  if (statement.empty()) {
    return;
  }
  const base::TimePoint now = dispatcher_.now();
  Front& front = fronts_[key];
  front.zone = zone;
  front.last_seen = now;
  front.observed_s = statement.observed_s;
  front.pools.clear();
  for (const wire::PoolHealth& pool : statement.pools) {
    front.pools[pool.pool] = pool;
  }
  for (const wire::WorkerHealth& health : statement.workers) {
    front.workers[health.worker] = {health, now};
    noteAccused(health);
  }
  std::erase_if(front.workers,
                [now](const auto& item) { return now - item.second.last_seen > RowMemory; });
  while (front.workers.size() > MaximumWorkers) {
    front.workers.erase(std::ranges::min_element(
        front.workers, {}, [](const auto& item) { return item.second.last_seen; }));
  }
}

void EvidenceLedger::noteAccused(const wire::WorkerHealth& health) {
  if (health.recent_failed >= AccusedFrom) {
    accused_since_.try_emplace(health.worker, dispatcher_.now());
  }
}

void EvidenceLedger::forgetUnresponsive() {
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(fronts_,
                [now](const auto& item) { return now - item.second.last_seen > FrontMemory; });
  std::erase_if(accused_since_,
                [this](const auto& item) { return ofWorker(item.first).accusing_fronts == 0; });
}

bool EvidenceLedger::isBelieved(const Front& front) const {
  for (const auto& [key, pool] : front.pools) {
    if (pool.recent_dispatched < MinimumToAssessFront ||
        pool.recent_failed < FailsEverywhere * pool.recent_dispatched) {
      continue;
    }
    double dispatched = 0;
    double failed = 0;
    for (const auto& [other_key, other] : fronts_) {
      const auto found = other.pools.find(key);
      if (&other != &front && found != other.pools.end()) {
        dispatched += found->second.recent_dispatched;
        failed += found->second.recent_failed;
      }
    }
    if (dispatched >= MinimumToAssessFront && failed < OthersFail * dispatched) {
      return false;
    }
  }
  return true;
}

void EvidenceLedger::addRow(Evidence& evidence, const Front& front, const Row& row,
                            base::TimePoint now) {
  const double recent = factorOf(now - row.last_seen, RecentHalfLife);
  evidence.recent_dispatched += row.health.recent_dispatched * recent;
  evidence.recent_failed += row.health.recent_failed * recent;
  addCounts(evidence.counts, row.health.counts, factorOf(now - row.last_seen, LongHalfLife));
  evidence.accusing_fronts += row.health.recent_failed * recent >= AccusedFrom ? 1 : 0;
  evidence.telling_fronts += 1;
  evidence.in_flight += now - row.last_seen <= InFlightMemory ? row.health.in_flight : 0;
  evidence.observed_s = std::max(evidence.observed_s, front.observed_s);
}

std::map<std::uint64_t, Evidence> EvidenceLedger::ofAllWorkers() const {
  const base::TimePoint now = dispatcher_.now();
  std::map<std::uint64_t, Evidence> workers;
  for (const auto& [key, front] : fronts_) {
    if (!isBelieved(front)) {
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
    const auto found = front.workers.find(worker);
    const bool counts = found != front.workers.end() && (!zone || *zone == front.zone);
    if (!counts || !isBelieved(front)) {
      continue;
    }
    addRow(evidence, front, found->second, now);
  }
  return evidence;
}

Evidence EvidenceLedger::ofPool(std::uint64_t pool) const {
  const base::TimePoint now = dispatcher_.now();
  Evidence evidence;
  for (const auto& [key, front] : fronts_) {
    const auto found = front.pools.find(pool);
    if (found == front.pools.end() || !isBelieved(front)) {
      continue;
    }
    const double recent = factorOf(now - front.last_seen, RecentHalfLife);
    evidence.recent_dispatched += found->second.recent_dispatched * recent;
    evidence.recent_failed += found->second.recent_failed * recent;
    addCounts(evidence.counts, found->second.counts, factorOf(now - front.last_seen, LongHalfLife));
    evidence.telling_fronts += 1;
    evidence.observed_s = std::max(evidence.observed_s, front.observed_s);
  }
  return evidence;
}

}  // namespace switchsaddle::worker_health
