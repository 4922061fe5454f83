#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

/**
 * Service for claims on a core node: executes ClaimBegin and ClaimFinish as changes of the claim's
 * register. It is stateless, so that any core node can serve any request. Repeated requests are
 * idempotent. Runs on the control strand.
 *
 * Invariants: at most one run owns a claim that is InFlight, and only that run can end it. Ran and
 * Unknown are final. A run that ended as NotRun cannot claim the key again before another run
 * has.
 */
class ClaimService {
 public:
  ClaimService(transport::PeerCalls& calls, registers::RegisterProposer& proposer);

  /** Claims the key for a run if it is unclaimed, or if the previous run has ended as NotRun. */
  void begin(const wire::ClaimBegin& request, std::function<void(wire::ClaimReply)> reply);
  /** Ends the claim of the run that owns it. */
  void finish(const wire::ClaimFinish& request, std::function<void(wire::ClaimReply)> reply);

 private:
  registers::RegisterProposer& proposer_;
};

}  // namespace switchsaddle::claims
