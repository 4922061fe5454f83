#include <algorithm>
#include <utility>

#include "control_requests.h"
#include "health_json.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/core/control_service.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

// The control API's part about workers' health and maintenance.

namespace switchsaddle::core {

namespace {

using base::ResultCode;
using configuration::Fault;
using configuration::RegisterValue;

constexpr std::uint16_t StatusOk = 200;

std::vector<configuration::FleetWorker> fleetOf(const workers::WorkerSnapshot& snapshot) {
  std::vector<configuration::FleetWorker> fleet;
  for (const auto& [id, worker] : snapshot.workers) {
    if (!worker.gone) {
      fleet.push_back({id, worker.entry.service, worker.entry.zone, worker.usable()});
    }
  }
  return fleet;
}

std::vector<std::string> sickest(const worker_health::HealthRanking& ranking) {
  std::vector<std::string> workers;
  for (const worker_health::WorkerRank& rank : ranking.ranks()) {
    if (rank.state == worker_health::HealthState::Unhealthy) {
      workers.push_back(rank.worker);
    }
  }
  return workers;
}

}  // namespace

void ControlService::getHealth(const http::Request& /*request*/, const std::string& /*name*/,
                               Respond respond) {
  const std::set<std::string>& out = dependencies_.replica.view()->workers_in_maintenance;
  respond(jsonResponse(
      StatusOk, renderRanking(dependencies_.node.health(), out, dependencies_.dispatcher.now())));
}

void ControlService::getWorkerHealth(const http::Request& /*request*/, const std::string& name,
                                     Respond respond) {
  const bool is_out = dependencies_.replica.view()->workers_in_maintenance.contains(name);
  const auto body = renderWorkerHealth(dependencies_.node.health(), name, is_out);
  respond(body ? jsonResponse(StatusOk, *body) : controlError(ResultCode::UnknownWorker));
}

void ControlService::getMaintenance(const http::Request& /*request*/, const std::string& /*name*/,
                                    Respond respond) {
  const NodeInformation& node = dependencies_.node;
  readRegister(
      [&node](const RegisterValue& value, const Respond& answer) {
        std::vector<MaintainedWorker> workers;
        const std::vector<configuration::FleetWorker> fleet = fleetOf(*node.fleet());
        for (const std::string& name : configuration::workersInMaintenance(value.document)) {
          MaintainedWorker one;
          one.worker.worker = name;
          const auto listed = std::ranges::find(fleet, name, &configuration::FleetWorker::worker);
          if (listed != fleet.end()) {
            one.worker = *listed;
            one.listed = true;
            one.in_flight = node.requestsOn(name);
          }
          workers.push_back(std::move(one));
        }
        answer(jsonResponse(StatusOk, renderMaintenance(workers)));
      },
      std::move(respond));
}

void ControlService::postNextMaintenance(const http::Request& request, const std::string& /*name*/,
                                         Respond respond) {
  std::vector<Fault> faults;
  configuration::MaintenanceOrder order;
  order.change_id = changeIdOf(request, faults);
  order.wanted = sickest(dependencies_.node.health());
  submitMaintenance(std::move(order), faults, std::move(respond));
}

void ControlService::postMaintenance(const http::Request& request, const std::string& name,
                                     Respond respond) {
  std::vector<Fault> faults;
  configuration::MaintenanceOrder order;
  order.change_id = changeIdOf(request, faults);
  order.wanted = {name};
  order.is_chosen = true;
  submitMaintenance(std::move(order), faults, std::move(respond));
}

void ControlService::submitMaintenance(configuration::MaintenanceOrder order,
                                       const std::vector<Fault>& faults, Respond respond) {
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
      change_id,
      [this, change_id, respond = std::move(respond)](const ChangeAnswer& answer) {
        answerMaintenance(answer, change_id, respond);
      });
}

void ControlService::answerMaintenance(const ChangeAnswer& answer, const std::string& change_id,
                                       const Respond& respond) {
  const bool is_committed =
      answer.code == ResultCode::Ok || answer.code == ResultCode::CommittedNotYetInForce;
  const std::uint16_t status = base::describe(answer.code).http_status;
  if (!is_committed) {
    respond(jsonResponse(status, renderMaintenanceResult(answer, {})));
    return;
  }
  // Which worker it was stands in the register, also where an earlier sending decided.
  readRegister(
      [answer, change_id, status](const RegisterValue& value, const Respond& then) {
        const auto worker = configuration::workerTakenOut(value, change_id);
        then(jsonResponse(status, renderMaintenanceResult(answer, worker.value_or(""))));
      },
      respond);
}

void ControlService::deleteMaintenance(const http::Request& request, const std::string& name,
                                       Respond respond) {
  std::vector<Fault> faults;
  const std::string change_id = changeIdOf(request, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  dependencies_.coordinator.submitOrder(
      [change_id, name](const RegisterValue& present) {
        return configuration::decideMaintenanceEnd(present, change_id, name);
      },
      change_id,
      [name, respond = std::move(respond)](const ChangeAnswer& answer) {
        respond(jsonResponse(base::describe(answer.code).http_status,
                             renderMaintenanceResult(answer, name)));
      });
}

}  // namespace switchsaddle::core
