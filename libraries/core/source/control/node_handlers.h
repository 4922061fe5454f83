#pragma once

#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/core/control/control_service.h"

namespace switchsaddle::core {

/**
 * Handlers of the control API for the responding node and the acceptor set. Runs on the control
 * strand.
 */
class NodeHandlers {
 public:
  using Respond = ControlService::Respond;

  /** @param dependencies outlive the handlers. */
  explicit NodeHandlers(const ControlDependencies& dependencies) : dependencies_(dependencies) {}

  void getStatus(const Respond& respond) const;
  /** Responds with the node's state as recorded in its journal. */
  void getState(const Respond& respond) const;
  /** Replaces a member of the acceptor set. */
  void postReplacement(const http::Request& request, Respond respond) const;

 private:
  const ControlDependencies& dependencies_;
};

}  // namespace switchsaddle::core
