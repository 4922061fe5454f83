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

ChangeDecision reject(const RegisterValue& current, ResultCode code, std::string path,
                      std::string message) {
  ChangeDecision decision;
  decision.code = code;
  decision.version = current.document.version;
  decision.faults.push_back({std::move(path), code, std::move(message)});
  return decision;
}

ChangeDecision acknowledge(std::uint64_t version) {
  ChangeDecision decision;
  decision.version = version;
  decision.repeated = true;
  return decision;
}

/** Numbers of a pool's workers, to decide whether a candidate may enter maintenance. */
struct PoolCapacity {
  std::size_t total = 0;
  std::size_t in_maintenance = 0;
  /** In maintenance in the candidate's zone. */
  std::size_t in_maintenance_in_zone = 0;
  /** Usable workers without the candidate. */
  std::size_t remaining = 0;
};

PoolCapacity capacityWithout(const FleetWorker& candidate, const std::vector<FleetWorker>& fleet,
                             const std::set<std::string>& in_maintenance) {
  PoolCapacity capacity;
  for (const FleetWorker& worker : fleet) {
    if (worker.pool != candidate.pool) {
      continue;
    }
    const bool is_in_maintenance = in_maintenance.contains(worker.worker);
    const bool is_in_zone = worker.zone == candidate.zone;
    const bool remains = worker.usable && !is_in_maintenance && worker.worker != candidate.worker;
    ++capacity.total;
    capacity.in_maintenance += is_in_maintenance ? 1 : 0;
    capacity.in_maintenance_in_zone += is_in_maintenance && is_in_zone ? 1 : 0;
    capacity.remaining += remains ? 1 : 0;
  }
  return capacity;
}

/** @return why the candidate must stay in service; empty if it may enter maintenance. */
std::string reasonToKeep(const FleetWorker& candidate, const PoolCapacity& capacity,
                         const Tuning& tuning) {
  const auto total = static_cast<double>(capacity.total);
  const auto maximum_in_maintenance =
      std::max<std::size_t>(1, static_cast<std::size_t>(total * tuning.maintenance_pool_share));
  const auto minimum_remaining = std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(total * tuning.maintenance_capacity_share)));
  if (capacity.in_maintenance >= maximum_in_maintenance) {
    return std::to_string(capacity.in_maintenance) + " workers of pool " + candidate.pool +
           " are already in maintenance, the maximum of tuning/maintenance-pool-share";
  }
  if (capacity.in_maintenance_in_zone >= tuning.maintenance_zone_workers) {
    return std::to_string(capacity.in_maintenance_in_zone) +
           " workers of the pool are already in maintenance in zone " + candidate.zone +
           ", the maximum of tuning/maintenance-zone-workers";
  }
  if (capacity.remaining < minimum_remaining) {
    return "only " + std::to_string(capacity.remaining) + " of " + std::to_string(capacity.total) +
           " workers would remain in pool " + candidate.pool +
           ", fewer than the minimum of tuning/maintenance-capacity-share";
  }
  return {};
}

ChangeDecision commitEntry(const RegisterValue& current, Change change) {
  change.base_version = AnyBaseVersion;
  Document next = applyChange(current.document, change);
  std::vector<Fault> faults = checkDocument(next);
  if (!faults.empty()) {
    ChangeDecision decision;
    decision.code = ResultCode::ConfigurationInvalid;
    decision.version = current.document.version;
    decision.faults = std::move(faults);
    return decision;
  }
  return commitChange(current, change, std::move(next));
}

/** @return the history entry of the recorded change; nullptr if it did not start a maintenance. */
const HistoryEntry* maintenanceEntry(const RegisterValue& value, const std::string& change_id) {
  const RecordedChange* recorded = value.findRecorded(change_id);
  if (recorded == nullptr || recorded->code != ResultCode::Ok) {
    return nullptr;
  }
  const auto history_entry =
      std::ranges::find(value.history, recorded->version, &HistoryEntry::version);
  const bool is_maintenance = history_entry != value.history.end() &&
                              history_entry->set.size() == 1 &&
                              history_entry->set.front().starts_with(MaintenancePrefix);
  return is_maintenance ? &*history_entry : nullptr;
}

/** Decides on an order whose change_id is recorded. */
ChangeDecision repeatOrder(const RegisterValue& current, const MaintenanceOrder& order) {
  const std::optional<std::string> worker = workerPutIntoMaintenance(current, order.change_id);
  const bool is_same = worker && (!order.is_chosen || order.wanted.front() == *worker);
  if (!is_same) {
    return reject(current, ResultCode::ChangeIdReused, "change_id",
                  "was already used for another change");
  }
  return acknowledge(current.findRecorded(order.change_id)->version);
}

/** Decides on the end of a maintenance whose change_id is recorded. */
ChangeDecision repeatEnd(const RegisterValue& current, const RecordedChange& recorded,
                         const std::string& worker) {
  const auto history_entry =
      std::ranges::find(current.history, recorded.version, &HistoryEntry::version);
  const bool is_same = history_entry != current.history.end() &&
                       history_entry->removed == std::vector<std::string>{pathOf(worker)};
  if (!is_same) {
    return reject(current, ResultCode::ChangeIdReused, "change_id",
                  "was already used for another change");
  }
  return acknowledge(recorded.version);
}

/** Result of checking one candidate: Ok, or why it cannot enter maintenance. */
struct CandidateCheck {
  ResultCode code = ResultCode::Ok;
  std::string reason;
};

CandidateCheck checkCandidate(const std::string& worker, const MaintenanceOrder& order,
                              const std::set<std::string>& in_maintenance, const Tuning& tuning) {
  if (in_maintenance.contains(worker)) {
    return {ResultCode::AlreadyInMaintenance, "is already in maintenance"};
  }
  const auto candidate = std::ranges::find(order.fleet, worker, &FleetWorker::worker);
  if (candidate == order.fleet.end()) {
    return {ResultCode::UnknownWorker, "no worker has this name"};
  }
  std::string reason =
      reasonToKeep(*candidate, capacityWithout(*candidate, order.fleet, in_maintenance), tuning);
  if (!reason.empty()) {
    return {ResultCode::CapacityTooLow, std::move(reason)};
  }
  return {};
}

ChangeDecision startMaintenance(const RegisterValue& current, const std::string& change_id,
                                const std::string& worker) {
  Change change;
  change.change_id = change_id;
  change.set.push_back({pathOf(worker), "{}"});
  return commitEntry(current, std::move(change));
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

std::optional<std::string> workerPutIntoMaintenance(const RegisterValue& value,
                                                    const std::string& change_id) {
  const HistoryEntry* history_entry = maintenanceEntry(value, change_id);
  if (history_entry == nullptr) {
    return std::nullopt;
  }
  return history_entry->set.front().substr(std::string_view(MaintenancePrefix).size());
}

ChangeDecision decideMaintenance(const RegisterValue& current, const MaintenanceOrder& order) {
  if (current.findRecorded(order.change_id) != nullptr) {
    return repeatOrder(current, order);
  }
  const std::set<std::string> in_maintenance = workersInMaintenance(current.document);
  const Tuning tuning = buildView(current.document).tuning;
  std::optional<ChangeDecision> first_rejection;
  for (const std::string& worker : order.wanted) {
    const CandidateCheck check = checkCandidate(worker, order, in_maintenance, tuning);
    if (check.code == ResultCode::Ok) {
      return startMaintenance(current, order.change_id, worker);
    }
    if (check.code == ResultCode::CapacityTooLow) {
      if (!first_rejection) {
        first_rejection = reject(current, check.code, worker, check.reason);
      }
    } else if (order.is_chosen) {
      return reject(current, check.code, worker, check.reason);
    }
  }
  if (first_rejection) {
    return *std::move(first_rejection);
  }
  return reject(current, ResultCode::NothingToMaintain, "",
                "there is no unhealthy worker that is not yet in maintenance");
}

ChangeDecision decideMaintenanceEnd(const RegisterValue& current, const std::string& change_id,
                                    const std::string& worker) {
  if (const RecordedChange* recorded = current.findRecorded(change_id)) {
    return repeatEnd(current, *recorded, worker);
  }
  if (!workersInMaintenance(current.document).contains(worker)) {
    return acknowledge(current.document.version);
  }
  Change change;
  change.change_id = change_id;
  change.remove.push_back(pathOf(worker));
  return commitEntry(current, std::move(change));
}

}  // namespace switchsaddle::configuration
