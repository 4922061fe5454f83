#pragma once

#include <string_view>

#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/**
 * @param not_run_header name of the header by which a worker says that it has not run a request.
 * @return whether a worker's response says that it has not run the request.
 */
bool isRefusal(const http::Response& head, std::string_view not_run_header);

}  // namespace switchsaddle::front
