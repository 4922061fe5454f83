#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/claims/claim_service.h"
#include "switchsaddle/core/configuration/configuration_stack.h"
#include "switchsaddle/core/control/control_service.h"
#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/core/membership/membership_role.h"
#include "switchsaddle/core/membership/stalled_change_monitor.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/core/node/ledger_host.h"
#include "switchsaddle/core/node/platform_watcher_role.h"
#include "switchsaddle/core/node/register_stack.h"
#include "switchsaddle/core/node/store_recovery.h"
#include "switchsaddle/core/quotas/quota_role.h"
#include "switchsaddle/core/telemetry/fleet_telemetry.h"
#include "switchsaddle/lease/lease_granter.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::core {

/**
 * One core node, composed of its state machines: registers, session table, lease granter,
 * configuration, singleton roles, claims, limit ledgers and control API. It serves once its store
 * is open. It has no sockets, threads or files of its own, so that it runs unchanged in the
 * simulation. Runs on the control strand.
 */
class CoreNode : public NodeInformation {
 public:
  explicit CoreNode(const CoreEnvironment& environment);
  ~CoreNode() override;
  CoreNode(const CoreNode&) = delete;
  CoreNode& operator=(const CoreNode&) = delete;

  /** Opens the store, with retries, and serves from then on. */
  void start();
  /**
   * Releases the leases and stops proposing.
   *
   * @param stopped called soon after, on the control strand.
   */
  void stop(std::function<void()> stopped);

  /** Sets the cores to query for the acceptor set while this node is not a member. */
  void setSeeds(std::vector<base::NodeAddress> seeds) {
    registers_.bootstrap.setSeeds(std::move(seeds));
  }
  ControlService& control() { return control_; }
  const dissemination::ConfigurationReplica& replica() const { return configuration_.replica; }
  const workers::WorkerDirectory& workers() const { return workers_; }
  const registers::Acceptor& acceptor() const { return registers_.acceptor; }
  const registers::QuorumProposer& proposer() const { return registers_.quorum_proposer; }
  const RegisterCounters& registerCounters() const { return registers_.proposer.counters(); }
  std::size_t sessionCount() const { return sessions_.localSessions().size(); }
  NodeStatus status() const override;
  const journal::StateView& stateView() const override { return state_view_; }
  const worker_health::HealthRanking& health() const override { return telemetry_.ranking(); }
  workers::WorkerSnapshotPtr fleet() const override { return workers_.snapshot(); }
  std::uint32_t requestsOn(const std::string& worker) const override {
    return telemetry_.requestsOn(worker);
  }

 private:
  ControlDependencies controlDependencies();
  void connectWorkers();
  void connectSessions();
  void connectGranter();
  void connectConfiguration();
  void handleControlRequests();
  /** Starts the state machines once the store is open. */
  void activate();
  /**
   * Campaigns for the leases of the singleton roles while this node is a member of the acceptor
   * set. A core that has not joined or has left cannot perform the roles.
   */
  void updateCampaigns();
  /** Periodic work: campaigns, the health ranking, and the peers of the gossip. */
  void onPeersTimer();
  void reportTopChange(const worker_health::TopChange& change);

  CoreEnvironment environment_;
  /** Random, new for each start of the process. */
  std::uint64_t incarnation_;
  bool active_ = false;
  bool campaigning_ = false;
  journal::StateView state_view_;
  workers::WorkerDirectory workers_;
  RegisterStack registers_;
  sessions::SessionTable sessions_;
  FleetTelemetry telemetry_;
  lease::LeaseGranter granter_;
  ConfigurationStack configuration_;
  PlatformWatcherRole watcher_role_;
  MembershipRole membership_role_;
  StalledChangeMonitor stalled_change_monitor_;
  claims::ClaimService claims_;
  LedgerHost ledgers_;
  QuotaRole quota_role_;
  ControlService control_;
  StoreRecovery recovery_;
  base::TimerPtr peers_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
