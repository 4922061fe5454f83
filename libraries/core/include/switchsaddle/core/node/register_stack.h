#pragma once

#include "switchsaddle/core/configuration/observed_proposer.h"
#include "switchsaddle/core/membership/core_membership.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/registers/scrubber.h"

namespace switchsaddle::core {

/**
 * The replicated registers of one core node: acceptor, proposer, bootstrap, change of the acceptor
 * set, scrubber, and the acceptor set in which sessions and leases count majorities. Only connects
 * the state machines. Runs on the control strand.
 */
struct RegisterStack {
  explicit RegisterStack(const CoreEnvironment& environment);
  RegisterStack(const RegisterStack&) = delete;
  RegisterStack& operator=(const RegisterStack&) = delete;

  registers::Acceptor acceptor;
  registers::QuorumProposer quorum_proposer;
  /** The quorum proposer with metrics and incidents; all operations of the node pass through it. */
  ObservedProposer proposer;
  registers::Bootstrap bootstrap;
  registers::AcceptorSetChange set_change;
  registers::Scrubber scrubber;
  CoreMembership membership;
};

}  // namespace switchsaddle::core
