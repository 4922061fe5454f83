#pragma once

#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::http {

/**
 * @param message defaults to the code's meaning.
 * @param path location of the fault in a document; omitted if empty.
 * @return the JSON response `{"error":{"code","name","message","retry_safe","path"}}` with the HTTP
 *     status of the code.
 */
Response errorResponse(base::ResultCode code, const std::string& message = {},
                       const std::string& path = {});

}  // namespace switchsaddle::http
