#pragma once

#include <memory>

#include "switchsaddle/operator_client/control_endpoint.h"

namespace switchsaddle {

/** @return a transport over HTTP with a connection for each request; blocks the calling thread. */
std::unique_ptr<operator_client::ControlTransport> createControlTransport();

}  // namespace switchsaddle
