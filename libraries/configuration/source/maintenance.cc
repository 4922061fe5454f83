#include "switchsaddle/configuration/maintenance.h"

#include <algorithm>
#include <cmath>

#include "switchsaddle/configuration/view.h"

namespace switchsaddle::configuration {

namespace {

using base::ResultCode;

std::string pathOf(const std::string& worker) {
  return MaintenancePrefix + worker;
}

ChangeDecision refuse(const RegisterValue& present, ResultCode code, std::string path,
                      std::string message) {
  ChangeDecision decision;
  decision.code = code;
  decision.version = present.document.version;
  decision.faults.push_back({std::move(path), code, std::move(message)});
  return decision;
}

ChangeDecision acknowledge(std::uint64_t version) {
  ChangeDecision decision;
  decision.version = version;
  decision.repeated = true;
  return decision;
}

/** How many workers are there, and how many would still take requests. */
struct Capacity {
  std::size_t listed = 0;
  std::size_t out = 0;
  std::size_t out_in_zone = 0;
  std::size_t left = 0;
};

Capacity capacityWithout(const FleetWorker& chosen, const std::vector<FleetWorker>& fleet,
                         const std::set<std::string>& out) {
  Capacity capacity;
  for (const FleetWorker& worker : fleet) {
    if (worker.pool != chosen.pool) {
      continue;
    }
    const bool is_out = out.contains(worker.worker);
    ++capacity.listed;
    capacity.out += is_out ? 1 : 0;
    capacity.out_in_zone += is_out && worker.zone == chosen.zone ? 1 : 0;
    capacity.left += worker.usable && !is_out && worker.worker != chosen.worker ? 1 : 0;
  }
  return capacity;
}

/** Why the worker may not be missed; empty where it may. */
std::string reasonToKeep(const FleetWorker& chosen, const Capacity& capacity,
                         const Tuning& tuning) {
  const auto listed = static_cast<double>(capacity.listed);
  const auto most_out =
      std::max<std::size_t>(1, static_cast<std::size_t>(listed * tuning.maintenance_pool_share));
  const auto least_left =
      static_cast<std::size_t>(std::ceil(listed * tuning.maintenance_capacity_share));
  if (capacity.out >= most_out) {
    return std::to_string(capacity.out) + " workers of pool " + chosen.pool +
           " are out already; tuning/maintenance-pool-share";
  }
  if (capacity.out_in_zone >= tuning.maintenance_zone_workers) {
    return std::to_string(capacity.out_in_zone) + " workers of the pool are out in zone " +
           chosen.zone + "; tuning/maintenance-zone-workers";
  }
  if (capacity.left < std::max<std::size_t>(1, least_left)) {
    return "only " + std::to_string(capacity.left) + " of " + std::to_string(capacity.listed) +
           " workers would be left in pool " + chosen.pool + "; tuning/maintenance-capacity-share";
  }
  return {};
}

ChangeDecision commitEntry(const RegisterValue& present, Change change) {
  change.base_version = AnyBaseVersion;
  Document next = applyChange(present.document, change);
  std::vector<Fault> faults = checkDocument(next);
  if (!faults.empty()) {
    ChangeDecision decision;
    decision.code = ResultCode::ConfigurationInvalid;
    decision.version = present.document.version;
    decision.faults = std::move(faults);
    return decision;
  }
  return commitChange(present, change, std::move(next));
}

/** The line of the history for a recorded change; null where it was another kind of change. */
const HistoryLine* maintenanceLine(const RegisterValue& value, const std::string& change_id) {
  const RecordedChange* recorded = value.findRecorded(change_id);
  if (recorded == nullptr || recorded->code != ResultCode::Ok) {
    return nullptr;
  }
  const auto line = std::ranges::find(value.history, recorded->version, &HistoryLine::version);
  const bool is_maintenance = line != value.history.end() && line->set.size() == 1 &&
                              line->set.front().starts_with(MaintenancePrefix);
  return is_maintenance ? &*line : nullptr;
}

ChangeDecision repeat(const RegisterValue& present, const MaintenanceOrder& order) {
  const std::optional<std::string> worker = workerTakenOut(present, order.change_id);
  const bool same = worker && (!order.is_chosen || order.wanted.front() == *worker);
  if (!same) {
    return refuse(present, ResultCode::ChangeIdReused, "change_id", "is that of another change");
  }
  return acknowledge(present.findRecorded(order.change_id)->version);
}

}  // namespace

std::set<std::string> workersInMaintenance(const Document& document) {
  std::set<std::string> workers;
  const std::string prefix = MaintenancePrefix;
  for (auto entry = document.entries.lower_bound(prefix);
       entry != document.entries.end() && entry->first.starts_with(prefix); ++entry) {
    if (!entry->second.removed) {
      workers.insert(entry->first.substr(prefix.size()));
    }
  }
  return workers;
}

std::optional<std::string> workerTakenOut(const RegisterValue& value,
                                          const std::string& change_id) {
  const HistoryLine* line = maintenanceLine(value, change_id);
  if (line == nullptr) {
    return std::nullopt;
  }
  return line->set.front().substr(std::string_view(MaintenancePrefix).size());
}

ChangeDecision decideMaintenance(const RegisterValue& present, const MaintenanceOrder& order) {
  if (present.findRecorded(order.change_id) != nullptr) {
    return repeat(present, order);
  }
  const std::set<std::string> out = workersInMaintenance(present.document);
  const Tuning tuning = buildView(present.document).tuning;
  ChangeDecision refusal = refuse(present, ResultCode::NothingToMaintain, "", "no worker is sick");
  bool is_first = true;
  for (const std::string& wanted : order.wanted) {
    const auto chosen = std::ranges::find(order.fleet, wanted, &FleetWorker::worker);
    if (out.contains(wanted)) {
      if (order.is_chosen) {
        return refuse(present, ResultCode::AlreadyInMaintenance, wanted, "is out already");
      }
      continue;
    }
    if (chosen == order.fleet.end()) {
      if (order.is_chosen) {
        return refuse(present, ResultCode::UnknownWorker, wanted, "no worker has this name");
      }
      continue;
    }
    const std::string reason =
        reasonToKeep(*chosen, capacityWithout(*chosen, order.fleet, out), tuning);
    if (reason.empty()) {
      Change change;
      change.change_id = order.change_id;
      change.set.push_back({pathOf(wanted), "{}"});
      return commitEntry(present, std::move(change));
    }
    if (is_first) {
      refusal = refuse(present, ResultCode::CapacityTooLow, wanted, reason);
      is_first = false;
    }
  }
  return refusal;
}

ChangeDecision decideMaintenanceEnd(const RegisterValue& present, const std::string& change_id,
                                    const std::string& worker) {
  if (const RecordedChange* recorded = present.findRecorded(change_id)) {
    const auto line = std::ranges::find(present.history, recorded->version, &HistoryLine::version);
    const bool same =
        line != present.history.end() && line->removed == std::vector<std::string>{pathOf(worker)};
    if (!same) {
      return refuse(present, ResultCode::ChangeIdReused, "change_id", "is that of another change");
    }
    return acknowledge(recorded->version);
  }
  if (!workersInMaintenance(present.document).contains(worker)) {
    return acknowledge(present.document.version);
  }
  Change change;
  change.change_id = change_id;
  change.remove.push_back(pathOf(worker));
  return commitEntry(present, std::move(change));
}

}  // namespace switchsaddle::configuration
