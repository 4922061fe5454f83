#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/random.h"
#include "switchsaddle/claims/claim_service.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/core/configuration_follower.h"
#include "switchsaddle/core/control_service.h"
#include "switchsaddle/core/core_membership.h"
#include "switchsaddle/core/in_force_tracker.h"
#include "switchsaddle/core/ledger_host.h"
#include "switchsaddle/core/load_ledger.h"
#include "switchsaddle/core/membership_reconciler.h"
#include "switchsaddle/core/node_information.h"
#include "switchsaddle/core/observed_proposer.h"
#include "switchsaddle/core/quota_allocator.h"
#include "switchsaddle/core/quota_leases.h"
#include "switchsaddle/core/quota_ledger.h"
#include "switchsaddle/core/register_change_coordinator.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/lease/lease_granter.h"
#include "switchsaddle/lease/lease_holder.h"
#include "switchsaddle/registers/acceptor.h"
#include "switchsaddle/registers/acceptor_set_change.h"
#include "switchsaddle/registers/bootstrap.h"
#include "switchsaddle/registers/quorum_proposer.h"
#include "switchsaddle/registers/scrubber.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/worker_health/health_ranking.h"
#include "switchsaddle/worker_health/suspicion.h"
#include "switchsaddle/workers/platform_watcher.h"

namespace switchsaddle::core {

/** What a core node runs on; all of it outlives the node. */
struct CoreEnvironment {
  base::Dispatcher& dispatcher;
  transport::PeerCalls& calls;
  storage::RecordStore& store;
  base::RandomSource& random;
  journal::Journal& journal;
  workers::PlatformSource& platform;
  const configuration::Settings& settings;
  CoreFaults faults = {};
  /** Where an operator is told what must be seen; nowhere if left out. */
  base::IncidentSink* incidents = nullptr;
};

/** Names of the singleton roles whose leases core nodes hold. */
inline constexpr const char* PlatformWatcherLease = "platform-watcher";
inline constexpr const char* CoreMembershipLease = "core-membership";

/**
 * One core node, assembled of its state machines: acceptor and proposer of the registers, session
 * table, lease granter and holders, platform watcher, dissemination, claims, limit ledgers, and the
 * control API. Takes part once its store is open. Has no sockets, threads or files of its own, so
 * that it runs unchanged in the simulation. Runs on the control strand.
 */
class CoreNode : public NodeInformation {
 public:
  explicit CoreNode(const CoreEnvironment& environment);
  ~CoreNode() override;
  CoreNode(const CoreNode&) = delete;
  CoreNode& operator=(const CoreNode&) = delete;

  /** Opens the store, again after a pause where that fails, and then takes part. */
  void start();
  /** Gives the leases back and stops proposing; `stopped` runs soon after. */
  void stop(std::function<void()> stopped);

  /** Other cores to ask for the acceptor set, where this one is no member. */
  void setSeeds(std::vector<base::NodeAddress> seeds) { bootstrap_.setSeeds(std::move(seeds)); }
  ControlService& control() { return control_; }
  const dissemination::ConfigurationReplica& replica() const { return replica_; }
  const workers::WorkerDirectory& workers() const { return workers_; }
  const registers::Acceptor& acceptor() const { return acceptor_; }
  const registers::QuorumProposer& proposer() const { return proposer_; }
  const RegisterCounters& registerCounters() const { return observed_proposer_.counters(); }
  std::size_t sessionCount() const { return sessions_.localSessions().size(); }
  NodeStatus status() const override;
  const journal::StateView& beliefs() const override { return beliefs_; }
  const worker_health::HealthRanking& health() const override { return ranking_; }
  workers::WorkerSnapshotPtr fleet() const override { return workers_.snapshot(); }
  std::uint32_t requestsOn(const std::string& worker) const override;

 private:
  void openStore();
  void onOpened(base::ResultCode code, const storage::OpenedStore& opened);
  void activate();
  void connectParts();
  void handleControlRequests();
  /** What a front hears along with the grant of its session. */
  void addToGrant(const wire::SessionRecord& record, wire::SessionOpenReply& granted);
  void refreshPeers();
  void refreshRanking();
  /** The keys of workers that every front is to tell of. */
  void addWatched(std::vector<std::uint64_t>& watched) const;
  base::IncidentSink& incidents() const;
  void reportLease(const lease::LeaseHolder& holder, const char* name, bool gained);
  /** Members campaign for the leases; a core that has not joined yet, or has left, could not do the
   * work they stand for. */
  void followMembership();
  /** Cores that know what all fronts let in campaign for the leases of the quota ledgers. */
  void followQuotas(bool may_campaign);
  /** Tells operators that the acceptor set lacks cores or zones, or no longer does. */
  void reportShortfall(const std::string& lacking);
  void onWatcherLease(bool gained);
  /** Lets another core try, where this one cannot read the platform's list. */
  void yieldWatcherLease();
  void startWatcher();
  /** After a loss of the whole fleet's memory nobody knows a worker until a watcher has its lease:
   * reads the list once and publishes it below any watcher's view. */
  void readFirstWorkers();
  void onMembershipLease(bool gained);
  void publishWorkers(const wire::WorkerView& view);
  void publishToAll(const wire::WorkerView& view);
  std::vector<base::NodeAddress> frontsWithSessions() const;
  ControlDependencies controlDependencies();

  CoreEnvironment environment_;
  /** Random, new for each life of the process. */
  std::uint64_t incarnation_;
  std::string storage_fault_;
  bool active_ = false;
  bool campaigning_ = false;
  journal::StateView beliefs_;
  registers::Acceptor acceptor_;
  registers::QuorumProposer proposer_;
  ObservedProposer observed_proposer_;
  registers::Bootstrap bootstrap_;
  registers::AcceptorSetChange set_change_;
  registers::Scrubber scrubber_;
  CoreMembership membership_;
  sessions::SessionTable sessions_;
  QuotaAllocator quotas_;
  LoadLedger loads_;
  worker_health::EvidenceLedger evidence_;
  worker_health::Suspicion suspicion_;
  worker_health::HealthRanking ranking_;
  /** Unset while the ranking is not of the present workers. */
  std::optional<base::TimePoint> ranked_at_;
  lease::LeaseGranter granter_;
  dissemination::ConfigurationReplica replica_;
  workers::WorkerDirectory workers_;
  dissemination::GossipAgent gossip_;
  InForceTracker tracker_;
  ConfigurationFollower follower_;
  RegisterChangeCoordinator coordinator_;
  lease::LeaseHolder watcher_lease_;
  lease::LeaseHolder membership_lease_;
  workers::PlatformWatcher watcher_;
  MembershipReconciler reconciler_;
  claims::ClaimService claims_;
  LedgerHost ledgers_;
  QuotaLeases quota_leases_;
  QuotaLedger quota_ledger_;
  ControlService control_;
  base::TimerPtr open_timer_;
  base::TimerPtr peers_timer_;
  base::TimerPtr watcher_timer_;
  base::TimerPtr watcher_campaign_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
