#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/core/quotas/quota_allocator.h"
#include "switchsaddle/core/telemetry/load_ledger.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/worker_health/health_ranking.h"
#include "switchsaddle/worker_health/outlier_detector.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::core {

/**
 * Aggregates the load, quota use and evidence of worker health that the fronts report in their
 * session records, and returns the aggregates to each front with the grant of its session. Runs on
 * the control strand.
 */
class FleetTelemetry {
 public:
  using RankingListener = std::function<void(const worker_health::TopChange&)>;

  FleetTelemetry(const CoreEnvironment& environment, sessions::SessionTable& sessions,
                 const workers::WorkerDirectory& workers);
  FleetTelemetry(const FleetTelemetry&) = delete;
  FleetTelemetry& operator=(const FleetTelemetry&) = delete;

  /** Called when another worker becomes the most unhealthy one. */
  void setRankingListener(RankingListener listener) { ranking_listener_ = std::move(listener); }
  void update(const wire::SessionRecord& record);
  void setWorkers(const workers::WorkerSnapshotPtr& workers);
  void setConfiguration(const std::shared_ptr<const configuration::View>& view);
  /** Adds quota allocations, health advice and the peers' load to the grant of a session. */
  void addToGrant(const wire::SessionRecord& record, wire::SessionOpenReply& granted);
  /** Recomputes the ranking, unless it is recent. */
  void refreshRanking();

  QuotaAllocator& quotas() { return quotas_; }
  const worker_health::HealthRanking& ranking() const { return ranking_; }
  /** @return the requests in flight on the worker with this identifier; 0 if it is unknown. */
  std::uint32_t requestsOn(const std::string& worker) const;

 private:
  /** Keys of the workers for which every front is to report evidence, sorted and distinct. */
  std::vector<std::uint64_t> watchedWorkers(std::vector<std::uint64_t> suspected) const;

  base::Dispatcher& dispatcher_;
  sessions::SessionTable& sessions_;
  const workers::WorkerDirectory& workers_;
  QuotaAllocator quotas_;
  LoadLedger loads_;
  worker_health::EvidenceLedger evidence_;
  worker_health::OutlierDetector outlier_detector_;
  worker_health::HealthRanking ranking_;
  RankingListener ranking_listener_;
  /** Null until a configuration is in force. */
  std::shared_ptr<const configuration::View> view_;
  /** When the ranking was last computed for the present workers; std::nullopt if never. */
  std::optional<base::TimePoint> ranked_at_;
};

}  // namespace switchsaddle::core
