#pragma once

#include <memory>

#include "switchsaddle/operator_client/control_endpoint.h"

namespace switchsaddle {

/** Sends control requests over HTTP, each on a connection of its own; blocks the calling thread. */
std::unique_ptr<operator_client::ControlTransport> createControlTransport();

}  // namespace switchsaddle
