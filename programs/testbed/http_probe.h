#pragma once

#include <optional>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::testbed_commands {

/** Sends one request and blocks until it is answered. Returns std::nullopt if no complete response
 * arrives within the limit. */
std::optional<http::Response> fetchOnce(const base::NodeAddress& address, http::Request request,
                                        base::Duration limit);

/** Whether a GET request to the target is answered 200 within a second. */
bool answersOk(const base::NodeAddress& address, const char* target);

}  // namespace switchsaddle::testbed_commands
