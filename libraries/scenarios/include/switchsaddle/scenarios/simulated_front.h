#pragma once

#include <memory>

#include "switchsaddle/front/node/front_node.h"
#include "switchsaddle/scenarios/simulated_workers.h"
#include "switchsaddle/simulation/network.h"

namespace switchsaddle::scenarios {

/** A simulated machine on which a front can be started and killed repeatedly. */
class SimulatedFront {
 public:
  SimulatedFront(simulation::World& world, simulation::Network& network, SimulatedWorkers& workers,
                 configuration::Settings settings);

  void start();
  /** Kills the process, which also closes its connections to workers. */
  void kill();
  bool running() const { return incarnation_ != nullptr; }
  simulation::Process& process() { return process_; }
  const base::NodeAddress& address() const { return settings_.peer_address; }
  /** The node of the current incarnation; only while running. */
  front::FrontNode& node() { return *incarnation_->node; }

 private:
  /** All state that is lost with the process. */
  struct Incarnation {
    std::unique_ptr<transport::Transport> transport;
    std::unique_ptr<transport::PeerCalls> calls;
    std::unique_ptr<base::RandomSource> random;
    std::unique_ptr<journal::Journal> journal;
    std::unique_ptr<front::WorkerPort> workers;
    std::unique_ptr<front::FrontNode> node;
  };

  simulation::World& world_;
  simulation::Network& network_;
  SimulatedWorkers& workers_;
  configuration::Settings settings_;
  simulation::Process process_;
  std::unique_ptr<Incarnation> incarnation_;
};

}  // namespace switchsaddle::scenarios
