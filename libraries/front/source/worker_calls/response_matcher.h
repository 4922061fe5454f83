#pragma once

#include <functional>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/** Returns whether a response header belongs to a certain request. */
using ResponseMatcher = std::function<bool(const http::Response& head)>;

/**
 * Matches responses to a request by its id alone, whatever their status: a worker may send surplus
 * responses, which may arrive after the next request on the connection has been sent. Each response
 * that does not match is logged.
 * @param worker the worker's address, for the log.
 * @param id_header name of the header in which responses echo the id.
 * @param request_id the request's id.
 */
ResponseMatcher responseMatcher(base::NodeAddress worker, std::string id_header,
                                std::string request_id);

}  // namespace switchsaddle::front
