#pragma once

#include <optional>
#include <string>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/front/one_shot_flow.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::front {

/** What an error answer tells besides its code. */
struct ErrorDetails {
  std::optional<Outcome> outcome;
  /** Zero: no Retry-After header. */
  std::uint32_t retry_after_ms = 0;
  std::string message;
  /** The faulty place in the caller's body. */
  std::string path;
};

http::Response errorAnswer(base::ResultCode code, const ErrorDetails& details);
http::Response oneShotAnswer(const OneShotAnswer& answer);
http::Response jsonAnswer(std::string body);

}  // namespace switchsaddle::front
