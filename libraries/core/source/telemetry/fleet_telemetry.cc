#include "switchsaddle/core/telemetry/fleet_telemetry.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::core {

namespace {

constexpr base::Duration RankingInterval = std::chrono::seconds(2);

}  // namespace

FleetTelemetry::FleetTelemetry(const CoreEnvironment& environment, sessions::SessionTable& sessions,
                               const workers::WorkerDirectory& workers)
    : dispatcher_(environment.dispatcher),
      sessions_(sessions),
      workers_(workers),
      quotas_(
          environment.dispatcher,
          [&sessions](const QuotaAllocator::RecordVisitor& visitor) {
            sessions.visitLocal(visitor);
          },
          environment.settings.forwarding.quotas),
      loads_(environment.dispatcher, environment.settings.times.session_core_limit),
      evidence_(environment.dispatcher),
      outlier_detector_(environment.dispatcher, evidence_),
      ranking_(environment.dispatcher, evidence_) {}

void FleetTelemetry::update(const wire::SessionRecord& record) {
  evidence_.update({record.front, record.instance}, record.zone, record.health);
  loads_.update(record);
}

void FleetTelemetry::setWorkers(const workers::WorkerSnapshotPtr& workers) {
  outlier_detector_.setWorkers(workers);
  ranking_.setWorkers(workers);
  if (ranking_.ranks().empty()) {
    ranked_at_.reset();
    refreshRanking();
  }
}

void FleetTelemetry::setConfiguration(const std::shared_ptr<const configuration::View>& view) {
  view_ = view;
  quotas_.setConfiguration(view);
}

void FleetTelemetry::addToGrant(const wire::SessionRecord& record,
                                wire::SessionOpenReply& granted) {
  if (sessions_.recovering()) {
    quotas_.stopReceiving();
  }
  if (auto allocations = quotas_.allocate(record)) {
    granted.quotas_complete = true;
    granted.allocations = std::move(*allocations);
  }
  granted.health = outlier_detector_.advice(record.zone);
  granted.health.watched = watchedWorkers(std::move(granted.health.watched));
  if (!sessions_.recovering()) {
    granted.load = loads_.loadFor(record);
  }
}

void FleetTelemetry::refreshRanking() {
  const base::TimePoint now = dispatcher_.now();
  if (ranked_at_ && now - *ranked_at_ < RankingInterval) {
    return;
  }
  ranked_at_ = now;
  if (ranking_.refresh() && ranking_listener_) {
    ranking_listener_(ranking_.history().back());
  }
}

std::vector<std::uint64_t> FleetTelemetry::watchedWorkers(
    std::vector<std::uint64_t> suspected) const {
  std::vector<std::uint64_t> watched = std::move(suspected);
  const std::vector<std::uint64_t> questioned = ranking_.questioned();
  watched.insert(watched.end(), questioned.begin(), questioned.end());
  if (view_) {
    for (const std::string& worker : view_->workers_in_maintenance) {
      const auto listed = workers_.snapshot()->workers.find(worker);
      if (listed != workers_.snapshot()->workers.end()) {
        watched.push_back(worker_health::workerKey(listed->second.entry));
      }
    }
  }
  std::ranges::sort(watched);
  watched.erase(std::unique(watched.begin(), watched.end()), watched.end());
  return watched;
}

std::uint32_t FleetTelemetry::requestsOn(const std::string& worker) const {
  const auto listed = workers_.snapshot()->workers.find(worker);
  if (listed == workers_.snapshot()->workers.end()) {
    return 0;
  }
  const wire::WorkerEntry& entry = listed->second.entry;
  // Fronts report their load on every worker, but evidence of health for some workers only.
  return std::max(evidence_.ofWorker(worker_health::workerKey(entry)).in_flight,
                  loads_.requestsOn(workers::loadKey(entry)));
}

}  // namespace switchsaddle::core
