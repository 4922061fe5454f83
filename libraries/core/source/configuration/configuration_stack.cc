#include "switchsaddle/core/configuration/configuration_stack.h"

#include <string>

#include "switchsaddle/node_options/node_options.h"

namespace switchsaddle::core {

ConfigurationStack::ConfigurationStack(const CoreEnvironment& environment, RegisterStack& registers,
                                       sessions::SessionTable& sessions,
                                       workers::WorkerDirectory& workers)
    : replica(environment.journal),
      gossip(environment.dispatcher, environment.calls, environment.random, replica, workers,
             node_options::gossipOptionsOf(environment.settings.times)),
      tracker(environment.dispatcher, environment.calls, sessions, replica),
      follower(environment.dispatcher, registers.proposer, registers.membership, replica, tracker),
      coordinator(environment.dispatcher, registers.proposer, replica, tracker,
                  environment.incidentSink(), environment.settings.times.acknowledgement_deadline,
                  environment.faults) {
  registers.acceptor.setAcceptedListener([this](const std::string& key, const std::string& value) {
    if (key == registers::ConfigurationRegister) {
      follower.onAccepted(value);
    }
  });
  coordinator.setCommittedListener([&calls = environment.calls, &membership = registers.membership](
                                       const wire::ConfigurationDelta& delta) {
    for (const base::NodeAddress& core : membership.peerAddresses(calls.localAddress())) {
      calls.notify(core, delta);
    }
  });
}

}  // namespace switchsaddle::core
