#include "switchsaddle/scenarios/simulated_core.h"

#include <utility>

namespace switchsaddle::scenarios {

void SimulatedPlatform::read(std::function<void(workers::PlatformReading)> callback) {
  callback(reading);
}

SimulatedCore::SimulatedCore(simulation::World& world, simulation::Network& network,
                             workers::PlatformSource& platform, configuration::Settings settings,
                             core::CoreFaults faults)
    : world_(world),
      network_(network),
      platform_(platform),
      settings_(std::move(settings)),
      faults_(faults),
      process_(world),
      disk_(world.random().next()) {}

void SimulatedCore::start() {
  process_.start();
  life_ = std::make_unique<Life>();
  life_->transport = network_.attach(settings_.peer_address, process_);
  life_->calls = std::make_unique<transport::PeerCalls>(process_, *life_->transport);
  life_->random = std::make_unique<base::RandomSource>(world_.random().next());
  life_->journal = std::make_unique<journal::Journal>(process_);
  life_->executor = std::make_unique<simulation::SimulatedStorageExecutor>(world_, process_);
  life_->store =
      std::make_unique<storage::FileRecordStore>(process_, disk_, *life_->executor, *life_->random);
  life_->node = std::make_unique<core::CoreNode>(
      core::CoreEnvironment{process_, *life_->calls, *life_->store, *life_->random, *life_->journal,
                            platform_, settings_, faults_});
  life_->node->start();
}

void SimulatedCore::kill(Death death) {
  process_.kill();
  life_.reset();
  switch (death) {
    case Death::Kill:
      disk_.resume();
      break;
    case Death::PowerLoss:
      disk_.powerLoss();
      break;
    case Death::Wipe:
      disk_.wipe();
      break;
  }
}

}  // namespace switchsaddle::scenarios
