#pragma once

#include <functional>
#include <string>

#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

/** Receives the outcome. If `available` is false, the request may or may not have been recorded. */
using ClaimCallback = std::function<void(const wire::ClaimReply&)>;

/**
 * Client of the claim service, used by fronts. Sends a request to a core node and, if that node
 * times out or fails, the same request to the next one, until the deadline. begin() and finish()
 * are idempotent for one run. Runs on the control strand.
 */
class ClaimClient {
 public:
  virtual ~ClaimClient() = default;
  /** Claims an idempotency key for a run. */
  virtual void begin(const wire::ClaimBegin& request, ClaimCallback callback) = 0;
  /** Ends the claim of a run with its outcome. */
  virtual void finish(const wire::ClaimFinish& request, ClaimCallback callback) = 0;
};

}  // namespace switchsaddle::claims
