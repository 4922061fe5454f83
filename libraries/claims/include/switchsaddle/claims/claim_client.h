#pragma once

#include <functional>
#include <string>

#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

using ClaimCallback = std::function<void(const wire::ClaimReply&)>;

/**
 * The front's side of claims. Asks a core node and, where it is silent or refuses, the next,
 * repeating the very same request, until the deadline; begin() and finish() are idempotent for one
 * run.
 */
class ClaimClient {
 public:
  virtual ~ClaimClient() = default;
  virtual void begin(const wire::ClaimBegin& request, ClaimCallback callback) = 0;
  virtual void finish(const wire::ClaimFinish& request, ClaimCallback callback) = 0;
};

}  // namespace switchsaddle::claims
