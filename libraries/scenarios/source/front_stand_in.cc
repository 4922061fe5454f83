#include "switchsaddle/scenarios/front_stand_in.h"

#include <utility>

namespace switchsaddle::scenarios {

namespace {

constexpr base::Duration PeersInterval = std::chrono::milliseconds(500);

}  // namespace

FrontStandIn::FrontStandIn(simulation::World& world, simulation::Network& network,
                           base::NodeAddress address, std::string zone,
                           std::vector<base::NodeAddress> seeds, FrontFaults faults)
    : world_(world),
      network_(network),
      address_(std::move(address)),
      zone_(std::move(zone)),
      seeds_(std::move(seeds)),
      faults_(faults),
      process_(world) {}

void FrontStandIn::start() {
  process_.start();
  life_ = std::make_unique<Life>();
  Life& life = *life_;
  life.transport = network_.attach(address_, process_);
  life.calls = std::make_unique<transport::PeerCalls>(process_, *life.transport);
  life.random = std::make_unique<base::RandomSource>(world_.random().next());
  life.journal = std::make_unique<journal::Journal>(process_);
  life.replica = std::make_unique<dissemination::ConfigurationReplica>(*life.journal);
  life.workers = std::make_unique<workers::WorkerDirectory>();
  life.gossip = std::make_unique<dissemination::GossipAgent>(process_, *life.calls, *life.random,
                                                             *life.replica, *life.workers,
                                                             dissemination::GossipOptions{});
  life.session = std::make_unique<sessions::QuorumSessionClient>(
      process_, *life.calls, *life.random, sessions::SessionTimes{}, seeds_,
      sessions::FrontIdentity{address_, life.random->next(), zone_});
  life.peers_timer = process_.createTimer([this] { refreshPeers(); });
  connect();
  life.gossip->start();
  life.session->start();
  refreshPeers();
}

void FrontStandIn::connect() {
  Life& life = *life_;
  life.replica->addListener([&life](const dissemination::ViewPtr& view) {
    life.session->setApplied(view->version, view->digest);
    life.session->noteNewerVersionSeen(view->version);
  });
  life.session->setCommittedListener([&life](std::uint64_t version, const base::NodeAddress& core) {
    if (version > life.replica->version()) {
      life.gossip->pullFrom(core);
    }
  });
}

void FrontStandIn::refreshPeers() {
  life_->peers_timer->enable(PeersInterval);
  life_->gossip->setPeers(life_->session->frontAddresses());
}

void FrontStandIn::kill() {
  process_.kill();
  life_.reset();
}

std::optional<std::uint64_t> FrontStandIn::dispatchVersion() const {
  if (!life_ || process_.frozen()) {
    return std::nullopt;
  }
  const bool dispatches = faults_.ignore_session || life_->session->mayDispatch();
  return dispatches ? std::optional(life_->replica->version()) : std::nullopt;
}

void FrontStandIn::observe(const wire::WorkerObservation& observation) {
  life_->gossip->observe(observation);
}

workers::WorkerSnapshotPtr FrontStandIn::workers() const {
  return life_ ? life_->workers->snapshot() : nullptr;
}

}  // namespace switchsaddle::scenarios
