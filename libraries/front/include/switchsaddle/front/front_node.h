#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/admission/ledger_slot_broker.h"
#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/claims/peer_claim_client.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/front/caller_service.h"
#include "switchsaddle/front/control_forwarder.h"
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/forward_flow.h"
#include "switchsaddle/front/front_history.h"
#include "switchsaddle/front/one_shot_flow.h"
#include "switchsaddle/front/session_monitor.h"
#include "switchsaddle/front/stream_flow.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/sessions/quorum_session_client.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

class StateReporter;

/** What a front stands on; real in the daemon, simulated in tests. All outlive the node. */
struct FrontEnvironment {
  base::Dispatcher& dispatcher;
  transport::PeerCalls& calls;
  base::RandomSource& random;
  journal::Journal& journal;
  const configuration::Settings& settings;
  WorkerPort& workers;
  /** The random instance id of this process. */
  std::uint64_t instance = 0;
  /** In place of the broker of the ledgers at the core; for tests. */
  admission::SlotBroker* slots = nullptr;
  /** Where an operator is told what must be seen; nowhere if left out. */
  base::IncidentSink* incidents = nullptr;
  /** Adds what only the process knows to the metrics, such as its traffic; may be left out. */
  std::function<void(metrics::Page&)> process_metrics = {};
  /** In place of the claims at the core; for tests that show what these prevent. */
  claims::ClaimClient* claims = nullptr;
  /** In place of this front's session where work is let in and dispatched; likewise. */
  const sessions::SessionClient* serving_session = nullptr;
  /** Whether streams are checked for gaps, repeats and joined runs; likewise. */
  bool check_sequence = true;
  /** Test-only deviations of the session. */
  sessions::SessionClientFaults session_faults = {};
  /** Where forwarded requests go; nothing is forwarded if left out. */
  ForwardPort* forward_port = nullptr;
  ForwardHeaders forward_headers = {};
};

/**
 * One front: session, configuration, worker beliefs, routing and the flows of work. Knows nothing
 * of sockets: requests come through service(). Runs on the control strand.
 *
 * A worker that refuses connections is kept out by the circuit and is not declared gone to the
 * fleet: that can't be withdrawn within one instance, and a worker that restarts fast stays listed
 * as the same instance.
 */
class FrontNode : private FleetView {
 public:
  explicit FrontNode(const FrontEnvironment& environment);
  ~FrontNode() override;
  FrontNode(const FrontNode&) = delete;
  FrontNode& operator=(const FrontNode&) = delete;

  void start();
  /**
   * Stops gracefully: not ready, no new work, open work runs to its end within the settings' stop
   * deadline, then the session is closed and `stopped` runs.
   */
  void stop(std::function<void()> stopped);
  bool ready() const { return service_.ready(); }
  CallerService& service() { return service_; }
  const Counters& counters() const { return counters_; }
  const dissemination::ConfigurationReplica& replica() const { return replica_; }
  const workers::WorkerDirectory& directory() const { return directory_; }
  const sessions::QuorumSessionClient& session() const { return session_; }
  routing::Router& router() { return router_; }
  /** Other cores to ask, where none of those known answers. */
  void setSeeds(std::vector<base::NodeAddress> seeds) { session_.setSeeds(std::move(seeds)); }
  /** What the flows see of the fleet, and tell it. */
  FleetView& beliefs() { return *this; }

 private:
  std::shared_ptr<const configuration::View> configuration() const override;
  workers::WorkerSnapshotPtr workers() const override;
  void observeDraining(const workers::Worker& worker) override;
  void observeRefused(const workers::Worker& worker) override;

  admission::SlotBroker& slots();
  claims::ClaimClient& claims();
  const sessions::SessionClient& servingSession() const;
  void connectParts();
  void onConfiguration(const dissemination::ViewPtr& view);
  void refreshPeers();
  void onGranted(const wire::SessionOpenReply& granted);
  void awaitEndOfWork();
  bool isIdle() const;
  std::unique_ptr<ForwardFlow> createForwards();
  std::string metricsText() const;
  std::string nodeReport() const;

  FrontEnvironment environment_;
  dissemination::ConfigurationReplica replica_;
  workers::WorkerDirectory directory_;
  sessions::QuorumSessionClient session_;
  dissemination::GossipAgent gossip_;
  routing::LearnedRouter router_;
  claims::PeerClaimClient claims_;
  admission::LedgerSlotBroker ledger_slots_;
  std::unique_ptr<StateReporter> beliefs_;
  RetryBudget retries_;
  WorkerCircuit circuit_;
  Counters counters_;
  StreamStages stages_;
  StreamFlow streams_;
  OneShotFlow one_shots_;
  worker_health::EvidenceRecorder health_;
  QuotaLedgerClient quota_ledgers_;
  QuotaMeter quotas_;
  ForwardPlacer placer_;
  /** Null where nothing is forwarded. */
  std::unique_ptr<ForwardFlow> forwards_;
  ControlForwarder control_;
  CallerService service_;
  SessionMonitor monitor_;
  FrontHistory history_;
  base::TimerPtr peers_timer_;
  base::TimerPtr stop_timer_;
  base::TimePoint stop_deadline_;
  base::TimePoint stop_notice_until_;
  std::function<void()> stopped_;
};

}  // namespace switchsaddle::front
