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
  incarnation_ = std::make_unique<Incarnation>();
  incarnation_->transport = network_.attach(settings_.peer_address, process_);
  incarnation_->calls = std::make_unique<transport::PeerCalls>(process_, *incarnation_->transport);
  incarnation_->random = std::make_unique<base::RandomSource>(world_.random().next());
  incarnation_->journal = std::make_unique<journal::Journal>(process_);
  incarnation_->workers = workers_.connect(process_);
  incarnation_->node = std::make_unique<front::FrontNode>(front::FrontEnvironment{
      process_, *incarnation_->calls, *incarnation_->random, *incarnation_->journal, settings_,
      *incarnation_->workers, world_.random().next()});
  incarnation_->node->start();
}

void SimulatedFront::kill() {
  process_.kill();
  incarnation_.reset();
}

}  // namespace switchsaddle::scenarios
