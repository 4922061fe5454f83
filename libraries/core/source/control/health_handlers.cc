#include "control/health_handlers.h"

#include "control/control_requests.h"
#include "control/health_json.h"
#include "switchsaddle/configuration/view.h"

namespace switchsaddle::core {

void HealthHandlers::getRanking(const Respond& respond) const {
  const std::set<std::string>& in_maintenance =
      dependencies_.replica.view()->workers_in_maintenance;
  respond(jsonResponse(StatusOk, renderRanking(dependencies_.node.health(), in_maintenance,
                                               dependencies_.dispatcher.now())));
}

void HealthHandlers::getWorker(const std::string& worker, const Respond& respond) const {
  const bool in_maintenance = dependencies_.replica.view()->workers_in_maintenance.contains(worker);
  const auto body = renderWorkerHealth(dependencies_.node.health(), worker, in_maintenance);
  respond(body ? jsonResponse(StatusOk, *body) : controlError(base::ResultCode::UnknownWorker));
}

}  // namespace switchsaddle::core
