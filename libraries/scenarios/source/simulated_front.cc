#include "switchsaddle/scenarios/simulated_front.h"

#include <utility>

namespace switchsaddle::scenarios {

SimulatedFront::SimulatedFront(simulation::World& world, simulation::Network& network,
                               SimulatedWorkers& workers, configuration::Settings settings)
    : world_(world),
      network_(network),
      workers_(workers),
      settings_(std::move(settings)),
      process_(world) {}

void SimulatedFront::start() {
  process_.start();
  life_ = std::make_unique<Life>();
  life_->transport = network_.attach(settings_.peer_address, process_);
  life_->calls = std::make_unique<transport::PeerCalls>(process_, *life_->transport);
  life_->random = std::make_unique<base::RandomSource>(world_.random().next());
  life_->journal = std::make_unique<journal::Journal>(process_);
  life_->workers = workers_.connect(process_);
  life_->node = std::make_unique<front::FrontNode>(
      front::FrontEnvironment{process_, *life_->calls, *life_->random, *life_->journal, settings_,
                              *life_->workers, world_.random().next()});
  life_->node->start();
}

void SimulatedFront::kill() {
  process_.kill();
  life_.reset();
}

}  // namespace switchsaddle::scenarios
