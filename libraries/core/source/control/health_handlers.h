#pragma once

#include <string>

#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/core/control/control_service.h"

namespace switchsaddle::core {

/** Handlers of the control API for the health of workers. Runs on the control strand. */
class HealthHandlers {
 public:
  using Respond = ControlService::Respond;

  /** @param dependencies outlive the handlers. */
  explicit HealthHandlers(const ControlDependencies& dependencies) : dependencies_(dependencies) {}

  /** Responds with the health ranking, the most unhealthy worker first. */
  void getRanking(const Respond& respond) const;
  void getWorker(const std::string& worker, const Respond& respond) const;

 private:
  const ControlDependencies& dependencies_;
};

}  // namespace switchsaddle::core
