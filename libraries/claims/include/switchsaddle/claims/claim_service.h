#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/registers/proposer.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/claim_messages.h"

namespace switchsaddle::claims {

/**
 * The core's side of claims: carries ClaimBegin and ClaimFinish out as changes of the claim's
 * register. Holds no state of its own, so any core node may serve any request, and a repeated
 * request changes nothing. Runs on the control strand.
 *
 * Invariants: at most one run holds a claim in flight; only that run ends it; Ran and Unknown never
 * change; a run which ended NotRun never holds the claim again right away.
 */
class ClaimService {
 public:
  ClaimService(transport::PeerCalls& calls, registers::RegisterProposer& proposer);

  /** Claims the key for a run where it is free or was proven not run. */
  void begin(const wire::ClaimBegin& request, std::function<void(wire::ClaimReply)> reply);
  /** Ends the claim of the run that holds it. */
  void finish(const wire::ClaimFinish& request, std::function<void(wire::ClaimReply)> reply);

 private:
  registers::RegisterProposer& proposer_;
};

}  // namespace switchsaddle::claims
