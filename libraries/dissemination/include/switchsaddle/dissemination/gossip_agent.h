#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::dissemination {

/** Times and bounds of the gossip. */
struct GossipOptions {
  base::Duration interval = std::chrono::milliseconds(1'000);
  base::Duration call_timeout = std::chrono::milliseconds(500);
  /** How many random peers hear at once of something new. */
  std::size_t fanout = 3;
  /** Most scores in one answer; half of them the freshest, the others at random. */
  std::size_t score_batch = 16;
};

/**
 * Epidemic dissemination. Each interval it sends a digest of what this node has to one random peer,
 * takes in what the peer has beyond it, and is asked back where the peer lacks something. What is
 * new and urgent (observations, worker views) is besides pushed at once to `fanout` random peers by
 * each node on first hearing of it, and by no node twice. Owns the handlers of ConfigurationDelta,
 * ConfigurationFetch, WorkerView, WorkerViewChange, GossipDigest and GossipDelta. Runs on the
 * control strand.
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

  void start();
  /** Sends no more digests and asks nobody; what peers ask is still answered. */
  void stop();
  /** The peers to choose from; the own address is passed over. */
  void setPeers(std::vector<base::NodeAddress> peers);
  void setScoreSource(ScoreSource source) { score_source_ = std::move(source); }
  void setScoreSink(ScoreSink sink) { score_sink_ = std::move(sink); }

  /** Something this node saw itself: takes it in and pushes it where it is new. */
  void observe(const wire::WorkerObservation& observation);
  /** A view made at this node: takes it in, and pushes it to random peers and to `first`. */
  void publishView(const wire::WorkerView& view, const std::vector<base::NodeAddress>& first = {});
  /** Asks a peer for all this node lacks. At most one such question is open for each peer. */
  void pullFrom(const base::NodeAddress& peer);

 private:
  void registerHandlers();
  void onInterval();
  wire::GossipDigest digest() const;
  wire::GossipDelta deltaFor(const wire::GossipDigest& peer);
  std::vector<wire::RouteScore> chooseScores();
  bool isAhead(const wire::GossipDigest& peer) const;
  void onDigest(const base::NodeAddress& from, const wire::GossipDigest& peer,
                const transport::ReplyFunction& reply);
  void onDelta(const base::NodeAddress& from, const wire::GossipDelta& delta);
  void onConfiguration(const base::NodeAddress& from, const wire::ConfigurationDelta& delta);
  void fetchConfiguration(const base::NodeAddress& from);
  /** Takes a view in; where it is new, what it changed is pushed to `first` and random peers. */
  void receiveView(const wire::WorkerView& view, const std::vector<base::NodeAddress>& first = {});
  void receiveViewChange(const base::NodeAddress& from, const wire::WorkerViewChange& change);
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
  /** Peers with a question of this node open. */
  std::set<base::NodeAddress> requested_;
  std::set<base::NodeAddress> fetching_;
  ScoreSource score_source_;
  ScoreSink score_sink_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::dissemination
