#include "switchsaddle/core/control/control_service.h"

#include <utility>

#include "control/configuration_handlers.h"
#include "control/configuration_reader.h"
#include "control/control_requests.h"
#include "control/control_routes.h"
#include "control/health_handlers.h"
#include "control/maintenance_handlers.h"
#include "control/node_handlers.h"
#include "control/operator_authentication.h"

namespace switchsaddle::core {

/** The handlers of all operations. */
struct ControlService::Handlers {
  explicit Handlers(const ControlDependencies& dependencies)
      : reader(dependencies),
        configuration(dependencies, reader),
        node(dependencies),
        health(dependencies),
        maintenance(dependencies, reader) {}

  void handle(ControlOperation operation, const http::Request& request, const std::string& name,
              Respond respond) const;

  ConfigurationReader reader;
  ConfigurationHandlers configuration;
  NodeHandlers node;
  HealthHandlers health;
  MaintenanceHandlers maintenance;
};

void ControlService::Handlers::handle(ControlOperation operation, const http::Request& request,
                                      const std::string& name, Respond respond) const {
  switch (operation) {
    case ControlOperation::GetConfiguration:
      return configuration.getConfiguration(std::move(respond));
    case ControlOperation::GetHistory:
      return configuration.getHistory(std::move(respond));
    case ControlOperation::GetInForce:
      return configuration.getInForce(std::move(respond));
    case ControlOperation::PostChange:
      return configuration.postChange(request, std::move(respond));
    case ControlOperation::PostEvacuation:
      return configuration.postEvacuation(request, name, std::move(respond));
    case ControlOperation::DeleteEvacuation:
      return configuration.deleteEvacuation(request, name, std::move(respond));
    case ControlOperation::PostKey:
      return configuration.postKey(request, std::move(respond));
    case ControlOperation::DeleteKey:
      return configuration.deleteKey(request, name, std::move(respond));
    case ControlOperation::GetStatus:
      return node.getStatus(respond);
    case ControlOperation::GetState:
      return node.getState(respond);
    case ControlOperation::PostReplacement:
      return node.postReplacement(request, std::move(respond));
    case ControlOperation::GetHealth:
      return health.getRanking(respond);
    case ControlOperation::GetWorkerHealth:
      return health.getWorker(name, respond);
    case ControlOperation::GetMaintenance:
      return maintenance.getMaintenance(std::move(respond));
    case ControlOperation::PostNextMaintenance:
      return maintenance.postNext(request, std::move(respond));
    case ControlOperation::PostMaintenance:
      return maintenance.postWorker(request, name, std::move(respond));
    case ControlOperation::DeleteMaintenance:
      return maintenance.deleteWorker(request, name, std::move(respond));
  }
}

ControlService::ControlService(ControlDependencies dependencies)
    : dependencies_(std::move(dependencies)),
      handlers_(std::make_unique<Handlers>(dependencies_)) {}

ControlService::~ControlService() = default;

bool ControlService::serves(const std::string& target) {
  return routeControl("GET", target).known_path;
}

void ControlService::handle(const http::Request& request, Respond respond) {
  const base::ResultCode identity = authenticateOperator(request, dependencies_);
  if (identity != base::ResultCode::Ok) {
    respond(controlError(identity));
    return;
  }
  const ControlRoute route = routeControl(request.method, request.target);
  if (!route.operation) {
    respond(controlError(route.known_path ? base::ResultCode::MethodNotAllowed
                                          : base::ResultCode::UnknownPath));
    return;
  }
  handlers_->handle(*route.operation, request, route.name, std::move(respond));
}

Caller ControlService::callerOf(const http::Request& request) const {
  return core::callerOf(request, dependencies_);
}

void ControlService::readSource(SourceReader reader) {
  handlers_->reader.readSource(std::move(reader));
}

}  // namespace switchsaddle::core
