#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

/**
 * Server of the claims on a core node: executes ClaimBegin and ClaimFinish as changes of the
 * claim's register. It is stateless, so that any core node may serve any request, and a repeated
 * request is idempotent. Runs on the control strand.
 *
 * Invariants: at most one run owns a claim in flight; only that run ends it; Ran and Unknown are
 * final; a run that ended NotRun never owns the claim in direct succession.
 */
class ClaimService {
 public:
  ClaimService(transport::PeerCalls& calls, registers::RegisterProposer& proposer);

  /** Claims the key for a run where it is free, or where the previous run is proven not run. */
  void begin(const wire::ClaimBegin& request, std::function<void(wire::ClaimReply)> reply);
  /** Ends the claim of the run that owns it. */
  void finish(const wire::ClaimFinish& request, std::function<void(wire::ClaimReply)> reply);

 private:
  registers::RegisterProposer& proposer_;
};

}  // namespace switchsaddle::claims
