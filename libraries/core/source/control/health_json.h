#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/maintenance.h"
#include "switchsaddle/core/configuration/change_coordinator.h"
#include "switchsaddle/worker_health/health_ranking.h"
#include "switchsaddle/workers/worker_directory.h"

/**
 * @file
 * JSON bodies of the control API about the health and the maintenance of workers.
 */

namespace switchsaddle::core {

/** @return the ranking, the most unhealthy worker first, and the history of its first place. */
std::string renderRanking(const worker_health::HealthRanking& ranking,
                          const std::set<std::string>& in_maintenance, base::TimePoint now);
/** @return one worker of the ranking with its evidence; std::nullopt if it is not ranked. */
std::optional<std::string> renderWorkerHealth(const worker_health::HealthRanking& ranking,
                                              const std::string& worker, bool in_maintenance);

/** A worker in maintenance. */
struct MaintainedWorker {
  configuration::FleetWorker worker;
  /** Whether the worker view contains the worker. */
  bool listed = false;
  /** Requests in flight on the worker, as reported by the fronts. */
  std::uint32_t in_flight = 0;
};

std::string renderMaintenance(const std::vector<MaintainedWorker>& workers);
/** @param worker empty if none was taken into maintenance. */
std::string renderMaintenanceResult(const ChangeAnswer& answer, const std::string& worker);

}  // namespace switchsaddle::core
