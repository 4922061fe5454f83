#pragma once

#include <optional>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/** What an error response contains besides its code. */
struct ErrorDetails {
  std::optional<Outcome> outcome;
  /** Sent in the Retry-After header, rounded up to seconds; no header if zero. */
  std::uint32_t retry_after_ms = 0;
  std::string message;
  /** The path of the invalid field in the caller's body. */
  std::string path;
};

/** @return the response to a request that failed with the code. */
http::Response errorAnswer(base::ResultCode code, const ErrorDetails& details);
/** @return the response to a one-shot request. */
http::Response oneShotAnswer(const OneShotAnswer& answer);
/** @return a success response with the JSON text as its body. */
http::Response jsonAnswer(std::string body);

}  // namespace switchsaddle::front
