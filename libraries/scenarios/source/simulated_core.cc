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
  incarnation_ = std::make_unique<Incarnation>();
  incarnation_->transport = network_.attach(settings_.peer_address, process_);
  incarnation_->calls = std::make_unique<transport::PeerCalls>(process_, *incarnation_->transport);
  incarnation_->random = std::make_unique<base::RandomSource>(world_.random().next());
  incarnation_->journal = std::make_unique<journal::Journal>(process_);
  incarnation_->strand_watch =
      std::make_unique<metrics::StrandWatch>(process_, base::ignoredIncidents());
  incarnation_->strand_watch->start();
  incarnation_->executor = std::make_unique<simulation::SimulatedStorageExecutor>(world_, process_);
  incarnation_->store = std::make_unique<storage::FileRecordStore>(
      process_, disk_, *incarnation_->executor, *incarnation_->random);
  incarnation_->node = std::make_unique<core::CoreNode>(
      core::CoreEnvironment{process_, *incarnation_->calls, *incarnation_->store,
                            *incarnation_->random, *incarnation_->journal, platform_, settings_,
                            faults_, nullptr, incarnation_->strand_watch.get()});
  incarnation_->node->start();
}

void SimulatedCore::kill(CrashKind crash) {
  process_.kill();
  incarnation_.reset();
  switch (crash) {
    case CrashKind::Kill:
      disk_.resume();
      break;
    case CrashKind::PowerLoss:
      disk_.powerLoss();
      break;
    case CrashKind::Wipe:
      disk_.wipe();
      break;
  }
}

}  // namespace switchsaddle::scenarios
