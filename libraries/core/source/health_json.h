#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/maintenance.h"
#include "switchsaddle/core/change_coordinator.h"
#include "switchsaddle/worker_health/health_ranking.h"
#include "switchsaddle/workers/worker_directory.h"

/**
 * @file
 * The JSON of the control API about workers' health and maintenance.
 */

namespace switchsaddle::core {

/** The ranking, the sickest first, and who was at the top before. */
std::string renderRanking(const worker_health::HealthRanking& ranking,
                          const std::set<std::string>& out, base::TimePoint now);
/** One worker of the ranking with all evidence; nothing where it has none. */
std::optional<std::string> renderWorkerHealth(const worker_health::HealthRanking& ranking,
                                              const std::string& worker, bool is_out);

/** A worker in maintenance. */
struct MaintainedWorker {
  configuration::FleetWorker worker;
  /** Whether the fleet's list has it. */
  bool listed = false;
  /** Requests on it that fronts told of. */
  std::uint32_t in_flight = 0;
};

std::string renderMaintenance(const std::vector<MaintainedWorker>& workers);
/** `worker` is empty where none was taken out. */
std::string renderMaintenanceResult(const ChangeAnswer& answer, const std::string& worker);

}  // namespace switchsaddle::core
