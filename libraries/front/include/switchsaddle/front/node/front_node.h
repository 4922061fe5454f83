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
#include "switchsaddle/front/forward/forward_flow.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/node/front_history.h"
#include "switchsaddle/front/node/session_monitor.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"
#include "switchsaddle/front/request/caller_service.h"
#include "switchsaddle/front/request/control_forwarder.h"
#include "switchsaddle/front/stream/stream_flow.h"
#include "switchsaddle/journal/journal.h"
#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/sessions/quorum_session_client.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::front {

class StateReporter;

/** Dependencies of FrontNode: real in the daemon, simulated in tests. All outlive the node. */
struct FrontEnvironment {
  base::Dispatcher& dispatcher;
  transport::PeerCalls& calls;
  base::RandomSource& random;
  journal::Journal& journal;
  const configuration::Settings& settings;
  WorkerPort& workers;
  /** Random id of this process. */
  std::uint64_t instance = 0;
  /** Replaces the broker of the core's ledgers if set; for tests. */
  admission::SlotBroker* slots = nullptr;
  /** Receives reports for operators; may be null. */
  base::IncidentSink* incidents = nullptr;
  /** Adds metrics of the process, such as its traffic; may be empty. */
  std::function<void(metrics::Page&)> process_metrics = {};
  /** Replaces the claims at the core if set; for tests that show what these prevent. */
  claims::ClaimClient* claims = nullptr;
  /** Replaces this front's session in the checks of admission and dispatch if set; for the
   * same tests.
   */
  const sessions::SessionClient* serving_session = nullptr;
  /** Whether streams are checked for gaps, repeats and joined runs; false in the same tests only.
   */
  bool check_sequence = true;
  /** Faults of the session; for tests only. */
  sessions::SessionClientFaults session_faults = {};
  /** Sends forwarded requests; nothing is forwarded if null. */
  ForwardPort* forward_port = nullptr;
  ForwardHeaders forward_headers = {};
  /** What runs hold of workers' responses is counted here; null to count nothing. */
  std::shared_ptr<base::ByteBudget> response_memory = nullptr;
};

/**
 * One front: owns its session, configuration, view of the workers, routing and request flows, and
 * connects them. Independent of sockets: requests arrive through service(). Runs on the control
 * strand.
 *
 * A worker that refuses connections is excluded by the circuit breaker and not reported as closed
 * to the fleet: such a report can't be withdrawn within one instance, and a worker that restarts
 * quickly remains listed as the same instance.
 */
class FrontNode : private FleetView {
 public:
  explicit FrontNode(const FrontEnvironment& environment);
  ~FrontNode() override;
  FrontNode(const FrontNode&) = delete;
  FrontNode& operator=(const FrontNode&) = delete;

  /** Opens the session and starts gossip. */
  void start();
  /**
   * Shuts down gracefully: reports the node as not ready, rejects new requests, waits for requests
   * in flight until the settings' stop deadline, and closes the session.
   * @param stopped runs once the session is closed.
   */
  void stop(std::function<void()> stopped);
  /** Whether this node accepts new requests. */
  bool ready() const { return service_.ready(); }
  CallerService& service() { return service_; }
  const Counters& counters() const { return counters_; }
  const dissemination::ConfigurationReplica& replica() const { return replica_; }
  const workers::WorkerDirectory& directory() const { return directory_; }
  const sessions::QuorumSessionClient& session() const { return session_; }
  routing::Router& router() { return router_; }
  /** Sets further addresses of cores, used if none of the known cores responds. */
  void setSeeds(const std::vector<base::NodeAddress>& seeds) { session_.setSeeds(seeds); }
  /** @return the view of the fleet that the flows use. */
  FleetView& fleetView() { return *this; }

 private:
  std::shared_ptr<const configuration::View> configuration() const override;
  workers::WorkerSnapshotPtr workers() const override;
  void observeDraining(const workers::Worker& worker) override;
  void observeRefused(const workers::Worker& worker) override;

  // The components in use: the node's own, or their replacements in tests.
  admission::SlotBroker& slots();
  claims::ClaimClient& claims();
  const sessions::SessionClient& servingSession() const;
  // Connects the components at the end of the construction.
  void connectComponents();
  void connectConfiguration();
  void connectGossip();
  void connectSession();
  std::unique_ptr<ForwardFlow> createForwardFlow();

  void onConfiguration(const dissemination::ViewPtr& view);
  void refreshMembership();
  /** Fetches the list of workers from a random core if this front forwards requests and has none.
   */
  void pullMissingWorkers();
  void onGranted(const wire::SessionOpenReply& granted);
  /** Next step of a graceful shutdown; closes the session once no request is in flight. */
  void continueStop();
  /** Logs how many requests the stop deadline ends. */
  void reportUnansweredRequests() const;
  bool isIdle() const;
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
  std::unique_ptr<StateReporter> state_reporter_;
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
  /** Null if nothing is forwarded. */
  std::unique_ptr<ForwardFlow> forwards_;
  ControlForwarder control_;
  CallerService service_;
  SessionMonitor monitor_;
  FrontHistory history_;
  base::TimerPtr membership_timer_;
  base::TimerPtr stop_timer_;
  base::TimePoint stop_deadline_;
  /** Forwarded requests are accepted until this time of a graceful shutdown. */
  base::TimePoint stop_notice_until_;
  std::function<void()> stopped_;
};

}  // namespace switchsaddle::front
