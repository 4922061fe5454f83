#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/core/membership/core_membership.h"
#include "switchsaddle/core/node/core_environment.h"
#include "switchsaddle/dissemination/gossip_agent.h"
#include "switchsaddle/lease/lease_granter.h"
#include "switchsaddle/lease/lease_holder.h"
#include "switchsaddle/sessions/session_table.h"
#include "switchsaddle/workers/backup_list_reader.h"
#include "switchsaddle/workers/platform_watcher.h"

namespace switchsaddle::core {

/** Name of the lease under which one core publishes the worker view. */
inline constexpr const char* PlatformWatcherLease = "platform-watcher";

/**
 * The singleton role that polls the platform and publishes the worker view. Campaigns for its lease
 * and runs the watcher while the lease is held; releases the lease if this node cannot read the
 * platform, so that a peer takes over. While no lease is renewed at this node's granter, the node
 * reads the list itself and reports workers that leave.
 *
 * Invariant: a view is published only while the lease with the view's term is held. The exception
 * is the initial view of term 0, which any view of a lease holder supersedes. Runs on the control
 * strand.
 */
class PlatformWatcherRole {
 public:
  /**
   * @param incarnation identifies this process among the candidates for the lease.
   * @param granter this node's granter; outlives the role.
   */
  PlatformWatcherRole(const CoreEnvironment& environment, CoreMembership& membership,
                      std::uint64_t incarnation, const lease::LeaseGranter& granter,
                      sessions::SessionTable& sessions, workers::WorkerDirectory& workers,
                      dissemination::GossipAgent& gossip);
  PlatformWatcherRole(const PlatformWatcherRole&) = delete;
  PlatformWatcherRole& operator=(const PlatformWatcherRole&) = delete;

  /** Campaigns for the lease. */
  void startCampaign();
  /** Releases the lease and stops campaigning. */
  void stopCampaign();
  /** Stops the watcher and every pending action; the lease is released by stopCampaign(). */
  void stop();
  /**
   * Polls the platform once and publishes the workers, unless this node has received a view by
   * then. Without the initial view, a fleet in which all processes restarted has no workers until
   * the lease is granted.
   */
  void publishInitialView();
  LeaseStatus status() const;

 private:
  void onLease(bool gained);
  /** Fetches the last view from the peers, so that workers keep their instances. */
  void pullLastView();
  void startWatcher();
  void yieldLease();
  void onInitialReading(const workers::PlatformReading& reading);
  void publish(const wire::WorkerView& view);
  void publishToAll(const wire::WorkerView& view);

  CoreEnvironment environment_;
  CoreMembership& membership_;
  sessions::SessionTable& sessions_;
  workers::WorkerDirectory& workers_;
  dissemination::GossipAgent& gossip_;
  lease::LeaseHolder lease_;
  workers::PlatformWatcher watcher_;
  workers::BackupListReader backup_reader_;
  bool campaigning_ = false;
  bool initial_view_pending_ = false;
  base::TimerPtr start_timer_;
  base::TimerPtr campaign_timer_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
