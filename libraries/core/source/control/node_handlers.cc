#include "control/node_handlers.h"

#include <utility>

#include "control/control_requests.h"
#include "control/status_json.h"
#include "switchsaddle/dissemination/state_report.h"

namespace switchsaddle::core {

using base::ResultCode;
using configuration::Fault;

void NodeHandlers::getStatus(const Respond& respond) const {
  const dissemination::ConfigurationReplica& replica = dependencies_.replica;
  respond(jsonResponse(
      StatusOk, renderStatus(dependencies_.node.status(), dependencies_.sessions.localSessions(),
                             replica.version(), replica.digest())));
}

void NodeHandlers::getState(const Respond& respond) const {
  const NodeInformation& node = dependencies_.node;
  respond(jsonResponse(
      StatusOk, configuration::renderStateReport(dissemination::reportState(
                    node.status().address, node.stateView(), dependencies_.dispatcher.now()))));
}

void NodeHandlers::postReplacement(const http::Request& request, Respond respond) const {
  std::vector<Fault> faults;
  const ReplacementOrder order = parseReplacement(request.body, faults);
  if (!faults.empty()) {
    respond(controlError(codeOf(faults), faults));
    return;
  }
  if (!dependencies_.coordinator.isAwaited(callerOf(request, dependencies_))) {
    respond(controlError(ResultCode::OrderExpired));
    return;
  }
  dependencies_.replace_core(
      order.old_member, order.new_member, [respond = std::move(respond)](ResultCode code) {
        std::vector<Fault> causes;
        if (code == ResultCode::InvalidValue) {
          causes.push_back(
              {"old", code, "must be a member, and `new` a core node that is not a member"});
        }
        respond(code == ResultCode::Ok ? jsonResponse(StatusOk, "{}") : controlError(code, causes));
      });
}

}  // namespace switchsaddle::core
