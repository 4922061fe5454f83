#pragma once

#include <optional>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::testbed_commands {

/** One small exchange, waited for. Nothing where no whole response came within the limit. */
std::optional<http::Response> fetchOnce(const base::NodeAddress& address, http::Request request,
                                        base::Duration limit);

/** Whether GET target answers 200. */
bool answersOk(const base::NodeAddress& address, const char* target);

}  // namespace switchsaddle::testbed_commands
