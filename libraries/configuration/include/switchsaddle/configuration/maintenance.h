#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/configuration/register_value.h"

/**
 * @file
 * Workers taken out for maintenance: entries `maintenance/WORKER` of the configuration. Since they
 * are made and ended by a compare-and-swap of the whole, one of two operators wins, an order sent
 * again is answered as before, and what was ordered outlasts every restart; docs/OPERATIONS.md.
 */

namespace switchsaddle::configuration {

inline constexpr const char* MaintenancePrefix = "maintenance/";

/** A worker of the fleet as the deciding core knows it. */
struct FleetWorker {
  std::string worker;
  std::string pool;
  std::string zone;
  /** It takes requests, or would but for its maintenance. */
  bool usable = false;
};

/** An order to take one worker out. */
struct MaintenanceOrder {
  /** The same for the same order sent again, and for no other. */
  std::string change_id;
  /** Whom to take, in order of preference: the first that may be missed. */
  std::vector<std::string> wanted;
  /** Whether `wanted` names the one worker that the operator chose. */
  bool is_chosen = false;
  std::vector<FleetWorker> fleet;
};

/**
 * Decides on an order: one already taken is acknowledged again, whatever came after it; a worker
 * that is out already is AlreadyInMaintenance, one that may not be missed CapacityTooLow, a name
 * that nobody has UnknownWorker; an order for the next is NothingToMaintain where no worker is
 * wanted. Refusals are not recorded. Pure.
 */
ChangeDecision decideMaintenance(const RegisterValue& present, const MaintenanceOrder& order);

/** Decides on the end of a worker's maintenance; one that is not out is acknowledged. Pure. */
ChangeDecision decideMaintenanceEnd(const RegisterValue& present, const std::string& change_id,
                                    const std::string& worker);

/** The worker that the change with this id took out; nothing where there was no such change. */
std::optional<std::string> workerTakenOut(const RegisterValue& value, const std::string& change_id);

/** The workers that are out. */
std::set<std::string> workersInMaintenance(const Document& document);

}  // namespace switchsaddle::configuration
