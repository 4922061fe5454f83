#pragma once

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::core {

/**
 * Authenticates a control request by its bearer key, against the settings' operators and those of
 * the configuration in force.
 *
 * @return Ok for an operator, else MissingKey, UnknownKey, or NotAnOperator for a tenant's key.
 */
base::ResultCode authenticateOperator(const http::Request& request,
                                      const ControlDependencies& dependencies);

}  // namespace switchsaddle::core
