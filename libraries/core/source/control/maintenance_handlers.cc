#include "control/maintenance_handlers.h"

#include <algorithm>
#include <utility>

#include "control/control_requests.h"
#include "control/health_json.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;
using configuration::RegisterValue;

std::vector<configuration::FleetWorker> fleetOf(const workers::WorkerSnapshot& snapshot) {
  std::vector<configuration::FleetWorker> fleet;
  for (const auto& [id, worker] : snapshot.workers) {
    if (!worker.unreachable) {
      fleet.push_back({id, worker.entry.service, worker.entry.zone, worker.usable()});
    }
  }
  return fleet;
}

/** @return the unhealthy workers, the most unhealthy first. */
std::vector<std::string> unhealthyWorkers(const worker_health::HealthRanking& ranking) {
  std::vector<std::string> workers;
  for (const worker_health::WorkerRank& rank : ranking.ranks()) {
    if (rank.state == worker_health::HealthState::Unhealthy) {
      workers.push_back(rank.worker);
    }
  }
  return workers;
}

}  // namespace

void MaintenanceHandlers::getMaintenance(Respond respond) const {
  const NodeInformation& node = dependencies_.node;
  reader_.read(
      [&node](const RegisterValue& value, const Respond& then) {
        std::vector<MaintainedWorker> workers;
        const std::vector<configuration::FleetWorker> fleet = fleetOf(*node.fleet());
        for (const std::string& name : configuration::workersInMaintenance(value.document)) {
          MaintainedWorker maintained;
          maintained.worker.worker = name;
          const auto listed = std::ranges::find(fleet, name, &configuration::FleetWorker::worker);
          if (listed != fleet.end()) {
            maintained.worker = *listed;
            maintained.listed = true;
            maintained.in_flight = node.requestsOn(name);
          }
          workers.push_back(std::move(maintained));
        }
        then(jsonResponse(StatusOk, renderMaintenance(workers)));
      },
      std::move(respond));
}

void MaintenanceHandlers::postNext(const http::Request& request, Respond respond) const {
  std::vector<Fault> faults;
  configuration::MaintenanceOrder order;
  order.change_id = changeIdOf(request, faults);
  order.wanted = unhealthyWorkers(dependencies_.node.health());
  submit(std::move(order), faults, callerOf(request, dependencies_), std::move(respond));
}

void MaintenanceHandlers::postWorker(const http::Request& request, const std::string& worker,
                                     Respond respond) const {
  std::vector<Fault> faults;
  configuration::MaintenanceOrder order;
  order.change_id = changeIdOf(request, faults);
  order.wanted = {worker};
  order.is_chosen = true;
  submit(std::move(order), faults, callerOf(request, dependencies_), std::move(respond));
}

void MaintenanceHandlers::submit(configuration::MaintenanceOrder order,
                                 const std::vector<Fault>& faults, const Caller& caller,
                                 Respond respond) const {
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  order.fleet = fleetOf(*dependencies_.node.fleet());
  const std::string change_id = order.change_id;
  dependencies_.coordinator.submitOrder(
      [order = std::move(order)](const RegisterValue& present) {
        return configuration::decideMaintenance(present, order);
      },
      change_id, caller,
      [this, change_id, respond = std::move(respond)](const ChangeAnswer& answer) {
        respondSubmitted(answer, change_id, respond);
      });
}

void MaintenanceHandlers::respondSubmitted(const ChangeAnswer& answer, const std::string& change_id,
                                           const Respond& respond) const {
  const bool is_committed =
      answer.code == ResultCode::Ok || answer.code == ResultCode::CommittedNotYetInForce;
  const std::uint16_t status = base::describe(answer.code).http_status;
  if (!is_committed) {
    respond(jsonResponse(status, renderMaintenanceResult(answer, {})));
    return;
  }
  // The register records the worker, also if an earlier submission of the change selected it.
  reader_.read(
      [answer, change_id, status](const RegisterValue& value, const Respond& then) {
        const auto worker = configuration::workerPutIntoMaintenance(value, change_id);
        then(jsonResponse(status, renderMaintenanceResult(answer, worker.value_or(""))));
      },
      respond);
}

void MaintenanceHandlers::deleteWorker(const http::Request& request, const std::string& worker,
                                       Respond respond) const {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  dependencies_.coordinator.submitOrder(
      [change_id, worker](const RegisterValue& present) {
        return configuration::decideMaintenanceEnd(present, change_id, worker);
      },
      change_id, callerOf(request, dependencies_),
      [worker, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             renderMaintenanceResult(answer, worker)));
      });
}

}  // namespace switchsaddle::core
