#include "switchsaddle/core/node/register_stack.h"

#include "node/core_options.h"
#include "switchsaddle/claims/claim_value.h"

namespace switchsaddle::core {

RegisterStack::RegisterStack(const CoreEnvironment& environment)
    : acceptor(environment.dispatcher, environment.calls, environment.store, environment.journal,
               acceptorOptionsOf(environment.faults)),
      quorum_proposer(environment.dispatcher, environment.calls, environment.random, acceptor,
                      proposerOptionsOf(environment.settings.times)),
      proposer(environment.dispatcher, quorum_proposer, environment.incidentSink()),
      bootstrap(environment.dispatcher, environment.calls, acceptor,
                bootstrapOptionsOf(environment.settings, environment.faults)),
      set_change(environment.dispatcher, environment.calls, acceptor, quorum_proposer),
      scrubber(environment.dispatcher, environment.calls, environment.random, acceptor,
               quorum_proposer, environment.store),
      membership(acceptor) {
  acceptor.setLifetimeSource(claims::claimLifetime);
}

}  // namespace switchsaddle::core
