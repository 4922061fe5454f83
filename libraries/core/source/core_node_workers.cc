// What a core node tells fronts and operators of workers: quotas aside, load, health and ranking.

#include <algorithm>

#include "switchsaddle/core/core_node.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::core {

namespace {

constexpr base::Duration RankingInterval = std::chrono::seconds(2);

}  // namespace

void CoreNode::addToGrant(const wire::SessionRecord& record, wire::SessionOpenReply& granted) {
  if (sessions_.recovering()) {
    quotas_.stopReceiving();
  }
  if (auto allocations = quotas_.allocate(record)) {
    granted.quotas_known = true;
    granted.allocations = std::move(*allocations);
  }
  granted.health = suspicion_.advice(record.zone);
  addWatched(granted.health.watched);
  if (!sessions_.recovering()) {
    granted.load = loads_.loadFor(record);
  }
}

void CoreNode::refreshRanking() {
  const base::TimePoint now = environment_.dispatcher.now();
  if (ranked_at_ && now - *ranked_at_ < RankingInterval) {
    return;
  }
  ranked_at_ = now;
  if (!ranking_.refresh() || !membership_lease_.held()) {
    return;
  }
  const worker_health::TopChange& change = ranking_.history().back();
  base::Incident incident;
  incident.event = "sickest-worker";
  incident.severity = change.worker.empty() ? base::Severity::Info : base::Severity::Warning;
  incident.fields = {{"worker", change.worker}, {"before", change.before}};
  incidents().report(incident);
}

void CoreNode::addWatched(std::vector<std::uint64_t>& watched) const {
  const std::vector<std::uint64_t> questioned = ranking_.questioned();
  watched.insert(watched.end(), questioned.begin(), questioned.end());
  for (const std::string& worker : replica_.view()->workers_in_maintenance) {
    const auto listed = workers_.snapshot()->workers.find(worker);
    if (listed != workers_.snapshot()->workers.end()) {
      watched.push_back(worker_health::workerKey(listed->second.entry));
    }
  }
  std::ranges::sort(watched);
  watched.erase(std::unique(watched.begin(), watched.end()), watched.end());
}

std::uint32_t CoreNode::requestsOn(const std::string& worker) const {
  const auto listed = workers_.snapshot()->workers.find(worker);
  if (listed == workers_.snapshot()->workers.end()) {
    return 0;
  }
  const wire::WorkerEntry& entry = listed->second.entry;
  // Fronts tell evidence of some workers only, but of their load on each.
  return std::max(evidence_.ofWorker(worker_health::workerKey(entry)).in_flight,
                  loads_.requestsOn(workers::loadKey(entry)));
}

}  // namespace switchsaddle::core
