#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * Maintenance of workers: entries `maintenance/WORKER` of the configuration. They are created and
 * removed by a compare-and-swap of the configuration register. Therefore only one of two concurrent
 * orders for a worker is accepted, a repeated order gets the same result, and orders survive
 * restarts. See docs/OPERATIONS.md.
 */

namespace switchsaddle::configuration {

/** Prefix of the paths of maintenance entries. */
inline constexpr const char* MaintenancePrefix = "maintenance/";

/** A worker of the fleet, from the view of the core that decides. */
struct FleetWorker {
  std::string worker;
  std::string pool;
  std::string zone;
  /** The worker accepts requests, or would if it were not in maintenance. */
  bool usable = false;
};

/** An order to put one worker into maintenance. */
struct MaintenanceOrder {
  /** Idempotency key of the order. */
  std::string change_id;
  /** Candidates in order of preference; the first that the pool's capacity allows is chosen. */
  std::vector<std::string> wanted;
  /** The operator named the worker; `wanted` contains only this worker. */
  bool is_chosen = false;
  std::vector<FleetWorker> fleet;
};

/**
 * Decides on an order. Pure, since the register may evaluate it several times.
 * @return Ok with the next value, or the recorded result of a repeated order; AlreadyInMaintenance;
 *     CapacityTooLow if too few workers of the pool would remain; UnknownWorker; NothingToMaintain
 *     if there is no candidate. Rejections are not recorded.
 */
ChangeDecision decideMaintenance(const RegisterValue& current, const MaintenanceOrder& order);

/** Decides on the end of a worker's maintenance; Ok if the worker is not in maintenance. Pure. */
ChangeDecision decideMaintenanceEnd(const RegisterValue& current, const std::string& change_id,
                                    const std::string& worker);

/**
 * @return the worker that the change put into maintenance, or std::nullopt if the change is not in
 *     the history.
 */
std::optional<std::string> workerPutIntoMaintenance(const RegisterValue& value,
                                                    const std::string& change_id);

/** @return the ids of the workers in maintenance. */
std::set<std::string> workersInMaintenance(const Document& document);

}  // namespace switchsaddle::configuration
