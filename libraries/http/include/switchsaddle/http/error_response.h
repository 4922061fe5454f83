#pragma once

#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::http {

/**
 * The JSON response of a failure: `{"error":{"code","name","message","retry_safe","path"}}`, with
 * the status of the code's row. `path` names the faulty place of a document; it is left out where
 * empty. An empty message becomes the code's meaning.
 */
Response errorResponse(base::ResultCode code, const std::string& message = {},
                       const std::string& path = {});

}  // namespace switchsaddle::http
