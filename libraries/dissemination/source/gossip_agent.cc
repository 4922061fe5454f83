#include "switchsaddle/dissemination/gossip_agent.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/workers/worker_view_change.h"

namespace switchsaddle::dissemination {

namespace {

/** @return whether (term, sequence) is older than (other_term, other_sequence). */
bool viewIsOlder(std::uint64_t term, std::uint64_t sequence, std::uint64_t other_term,
                 std::uint64_t other_sequence) {
  return term != other_term ? term < other_term : sequence < other_sequence;
}

}  // namespace

GossipAgent::GossipAgent(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                         base::RandomSource& random, ConfigurationReplica& replica,
                         workers::WorkerDirectory& workers, GossipOptions options)
    : calls_(calls),
      random_(random),
      replica_(replica),
      workers_(workers),
      options_(options),
      timer_(dispatcher.createTimer([this] { onInterval(); })) {
  registerGossipHandlers();
  registerConfigurationHandlers();
  registerViewHandlers();
}

void GossipAgent::registerGossipHandlers() {
  calls_.handle<wire::GossipDigest>(callbacks_.guard(
      [this](const base::NodeAddress& from, const wire::GossipDigest& peer,
             const transport::ReplyFunction& reply) { onDigest(from, peer, reply); }));
  calls_.handle<wire::GossipDelta>(
      callbacks_.guard([this](const base::NodeAddress& from, const wire::GossipDelta& delta,
                              const auto& /*reply*/) { onDelta(from, delta); }));
}

void GossipAgent::registerConfigurationHandlers() {
  calls_.handle<wire::ConfigurationDelta>(
      callbacks_.guard([this](const base::NodeAddress& from, const wire::ConfigurationDelta& delta,
                              const transport::ReplyFunction& reply) {
        onConfiguration(from, delta);
        reply(wire::Acknowledgement{});
      }));
  calls_.handle<wire::ConfigurationFetch>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::ConfigurationFetch& fetch,
             const transport::ReplyFunction& reply) {
        reply(replica_.document().deltaSince(fetch.since_version));
      }));
}

void GossipAgent::registerViewHandlers() {
  calls_.handle<wire::WorkerView>(
      callbacks_.guard([this](const base::NodeAddress& /*from*/, const wire::WorkerView& view,
                              const auto& /*reply*/) { applyView(view); }));
  calls_.handle<wire::WorkerViewChange>(
      callbacks_.guard([this](const base::NodeAddress& from, const wire::WorkerViewChange& change,
                              const auto& /*reply*/) { applyViewChange(from, change); }));
}

void GossipAgent::start() {
  const auto first = static_cast<base::Duration::rep>(
      random_.uniform() * static_cast<double>(options_.interval.count()));
  timer_->enable(base::Duration(first));
}

void GossipAgent::stop() {
  timer_->disable();
}

void GossipAgent::setPeers(std::vector<base::NodeAddress> peers) {
  std::sort(peers.begin(), peers.end());
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  std::erase(peers, calls_.localAddress());
  peers_ = std::move(peers);
}

void GossipAgent::onInterval() {
  timer_->enable(options_.interval);
  for (const base::NodeAddress& peer : randomPeers(1)) {
    pullFrom(peer);
  }
}

void GossipAgent::pullFrom(const base::NodeAddress& peer) {
  if (!pulling_.insert(peer).second) {
    return;
  }
  calls_.call(peer, digest(), options_.call_timeout,
              callbacks_.guard([this, peer](const transport::CallResult& result) {
                pulling_.erase(peer);
                if (const auto* delta = result.as<wire::GossipDelta>()) {
                  onDelta(peer, *delta);
                }
              }));
}

wire::GossipDigest GossipAgent::digest() const {
  wire::GossipDigest digest;
  digest.configuration_version = replica_.version();
  digest.configuration_digest = replica_.digest();
  digest.worker_term = workers_.view().term;
  digest.worker_sequence = workers_.view().sequence;
  digest.observations_digest = workers_.observationsDigest();
  return digest;
}

wire::GossipDelta GossipAgent::deltaFor(const wire::GossipDigest& peer) {
  wire::GossipDelta delta;
  if (replica_.version() > peer.configuration_version) {
    delta.configuration = replica_.document().deltaSince(peer.configuration_version);
  }
  const wire::WorkerView& view = workers_.view();
  if (viewIsOlder(peer.worker_term, peer.worker_sequence, view.term, view.sequence)) {
    delta.workers = view;
  }
  if (peer.observations_digest != workers_.observationsDigest()) {
    delta.observations = workers_.observations();
  }
  if (score_source_) {
    delta.scores = chooseScores();
  }
  return delta;
}

std::vector<wire::RouteScore> GossipAgent::chooseScores() {
  std::vector<wire::RouteScore> scores = score_source_();
  if (scores.size() <= options_.score_batch) {
    return scores;
  }
  const std::size_t recent = options_.score_batch / 2;
  std::partial_sort(
      scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(recent), scores.end(),
      [](const auto& first, const auto& second) { return first.age_ms < second.age_ms; });
  for (std::size_t index = recent; index < options_.score_batch; ++index) {
    std::swap(scores[index], scores[index + random_.below(scores.size() - index)]);
  }
  scores.resize(options_.score_batch);
  return scores;
}

bool GossipAgent::isPeerAhead(const wire::GossipDigest& peer) const {
  const wire::WorkerView& view = workers_.view();
  return peer.configuration_version > replica_.version() ||
         viewIsOlder(view.term, view.sequence, peer.worker_term, peer.worker_sequence) ||
         peer.observations_digest != workers_.observationsDigest();
}

void GossipAgent::onDigest(const base::NodeAddress& from, const wire::GossipDigest& peer,
                           const transport::ReplyFunction& reply) {
  reply(deltaFor(peer));
  if (isPeerAhead(peer)) {
    pullFrom(from);
  }
}

void GossipAgent::onDelta(const base::NodeAddress& from, const wire::GossipDelta& delta) {
  if (delta.configuration.to_version > replica_.version()) {
    onConfiguration(from, delta.configuration);
  }
  applyView(delta.workers);
  applyObservations(delta.observations);
  if (score_sink_ && !delta.scores.empty()) {
    score_sink_(delta.scores);
  }
}

void GossipAgent::onConfiguration(const base::NodeAddress& from,
                                  const wire::ConfigurationDelta& delta) {
  if (replica_.apply(delta) == ApplyOutcome::Mismatch) {
    fetchConfiguration(from);
  }
}

void GossipAgent::fetchConfiguration(const base::NodeAddress& from) {
  if (!fetching_.insert(from).second) {
    return;
  }
  calls_.call(from, wire::ConfigurationFetch{replica_.version()}, options_.call_timeout,
              callbacks_.guard([this, from](const transport::CallResult& result) {
                fetching_.erase(from);
                if (const auto* delta = result.as<wire::ConfigurationDelta>()) {
                  replica_.apply(*delta);
                }
              }));
}

void GossipAgent::observe(const wire::WorkerObservation& observation) {
  applyObservations({observation});
}

void GossipAgent::applyObservations(const std::vector<wire::WorkerObservation>& observations) {
  std::vector<wire::WorkerObservation> applied;
  for (const wire::WorkerObservation& observation : observations) {
    if (workers_.applyObservation(observation)) {
      applied.push_back(observation);
    }
  }
  if (!applied.empty()) {
    pushObservations(applied);
  }
}

void GossipAgent::pushObservations(const std::vector<wire::WorkerObservation>& observations) {
  wire::GossipDelta push;
  push.observations = observations;
  calls_.notifyAll(randomPeers(options_.fanout), push);
}

void GossipAgent::applyView(const wire::WorkerView& view,
                            const std::vector<base::NodeAddress>& targets) {
  const wire::WorkerView before = workers_.view();
  if (!workers_.applyView(view)) {
    return;
  }
  const wire::WorkerViewChange change = workers::changeBetween(before, view);
  std::vector<base::NodeAddress> peers = targets;
  std::erase(peers, calls_.localAddress());
  calls_.notifyAll(std::move(peers), change);
  calls_.notifyAll(randomPeers(options_.fanout), change);
}

void GossipAgent::applyViewChange(const base::NodeAddress& from,
                                  const wire::WorkerViewChange& change) {
  const wire::WorkerView& current = workers_.view();
  if (!viewIsOlder(current.term, current.sequence, change.term, change.sequence)) {
    return;
  }
  if (const auto next = workers::applyChange(current, change)) {
    applyView(*next);
  } else {
    pullFrom(from);
  }
}

void GossipAgent::publishView(const wire::WorkerView& view,
                              const std::vector<base::NodeAddress>& targets) {
  applyView(view, targets);
}

std::vector<base::NodeAddress> GossipAgent::randomPeers(std::size_t count) {
  std::vector<base::NodeAddress> candidates = peers_;
  const std::size_t chosen = std::min(count, candidates.size());
  for (std::size_t index = 0; index < chosen; ++index) {
    const std::size_t other = index + random_.below(candidates.size() - index);
    std::swap(candidates[index], candidates[other]);
  }
  candidates.resize(chosen);
  return candidates;
}

}  // namespace switchsaddle::dissemination
