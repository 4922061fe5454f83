#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::dissemination {

/** Intervals and limits of the gossip protocol. */
struct GossipOptions {
  base::Duration interval = std::chrono::milliseconds(1'000);
  base::Duration call_timeout = std::chrono::milliseconds(500);
  /** Number of random peers to which urgent updates are pushed. */
  std::size_t fanout = 3;
  /** Maximum number of scores in one reply: half are the most recent, the others random. */
  std::size_t score_batch = 16;
};

/**
 * Epidemic dissemination of the configuration, the worker view, observations of workers, and route
 * scores. Anti-entropy: at each interval the agent sends a digest of its state to one random peer
 * and applies the delta in the reply; a peer with older state then pulls from the agent. Push:
 * each node pushes an urgent update (observation or worker view) to `fanout` random peers once,
 * when it first receives the update. Handles ConfigurationDelta, ConfigurationFetch, WorkerView,
 * WorkerViewChange, GossipDigest and GossipDelta. Runs on the control strand.
 */
class GossipAgent {
 public:
  using ScoreSource = std::function<std::vector<wire::RouteScore>()>;
  using ScoreSink = std::function<void(const std::vector<wire::RouteScore>&)>;

  GossipAgent(base::Dispatcher& dispatcher, transport::PeerCalls& calls, base::RandomSource& random,
              ConfigurationReplica& replica, workers::WorkerDirectory& workers,
              GossipOptions options);
  GossipAgent(const GossipAgent&) = delete;
  GossipAgent& operator=(const GossipAgent&) = delete;

  /** Starts the periodic anti-entropy after a random fraction of the interval. */
  void start();
  /** Stops the periodic anti-entropy; requests of peers are still served. */
  void stop();
  /** Sets the peers from which random peers are chosen; the local address is ignored. */
  void setPeers(std::vector<base::NodeAddress> peers);
  /** Sets the source of the scores sent to peers; no scores are sent without one. */
  void setScoreSource(ScoreSource source) { score_source_ = std::move(source); }
  /** Sets the function that receives the scores of peers. */
  void setScoreSink(ScoreSink sink) { score_sink_ = std::move(sink); }

  /** Applies an observation made at this node, and pushes it if it is new. */
  void observe(const wire::WorkerObservation& observation);
  /** Applies a view created at this node, and pushes the change to `targets` and random peers. */
  void publishView(const wire::WorkerView& view,
                   const std::vector<base::NodeAddress>& targets = {});
  /** Fetches state that is newer at the peer. At most one pull from each peer is in flight. */
  void pullFrom(const base::NodeAddress& peer);

 private:
  void registerGossipHandlers();
  void registerConfigurationHandlers();
  void registerViewHandlers();
  void onInterval();
  wire::GossipDigest digest() const;
  /** @return the state that the peer lacks according to its digest. */
  wire::GossipDelta deltaFor(const wire::GossipDigest& peer);
  /** @return at most `score_batch` scores, some of them random. */
  std::vector<wire::RouteScore> chooseScores();
  /** @return whether the peer has state that this node lacks. */
  bool isPeerAhead(const wire::GossipDigest& peer) const;
  void onDigest(const base::NodeAddress& from, const wire::GossipDigest& peer,
                const transport::ReplyFunction& reply);
  void onDelta(const base::NodeAddress& from, const wire::GossipDelta& delta);
  void onConfiguration(const base::NodeAddress& from, const wire::ConfigurationDelta& delta);
  void fetchConfiguration(const base::NodeAddress& from);
  /** Applies a view; if it is new, pushes the change to `targets` and random peers. */
  void applyView(const wire::WorkerView& view, const std::vector<base::NodeAddress>& targets = {});
  void applyViewChange(const base::NodeAddress& from, const wire::WorkerViewChange& change);
  void applyObservations(const std::vector<wire::WorkerObservation>& observations);
  void pushObservations(const std::vector<wire::WorkerObservation>& observations);
  std::vector<base::NodeAddress> randomPeers(std::size_t count);

  transport::PeerCalls& calls_;
  base::RandomSource& random_;
  ConfigurationReplica& replica_;
  workers::WorkerDirectory& workers_;
  GossipOptions options_;
  base::TimerPtr timer_;
  std::vector<base::NodeAddress> peers_;
  /** Peers with a pull in flight. */
  std::set<base::NodeAddress> pulling_;
  /** Peers with a fetch of the configuration in flight. */
  std::set<base::NodeAddress> fetching_;
  ScoreSource score_source_;
  ScoreSink score_sink_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::dissemination
