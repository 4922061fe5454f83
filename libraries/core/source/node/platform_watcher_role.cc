#include "switchsaddle/core/node/platform_watcher_role.h"

#include "node/core_options.h"
#include "node/lease_events.h"
#include "switchsaddle/core/telemetry/session_fronts.h"

namespace switchsaddle::core {

namespace {

/** Time for peers to reply with the last view before a new watcher polls. */
constexpr base::Duration ViewPullTime = std::chrono::milliseconds(400);
/** Time in which a peer can win the lease that this node released. */
constexpr base::Duration YieldTime = std::chrono::seconds(3);

}  // namespace

PlatformWatcherRole::PlatformWatcherRole(const CoreEnvironment& environment,
                                         CoreMembership& membership, std::uint64_t incarnation,
                                         const lease::LeaseGranter& granter,
                                         sessions::SessionTable& sessions,
                                         workers::WorkerDirectory& workers,
                                         dissemination::GossipAgent& gossip)
    : environment_(environment),
      membership_(membership),
      sessions_(sessions),
      workers_(workers),
      gossip_(gossip),
      lease_(environment.dispatcher, environment.calls, environment.random,
             shortLeaseTimesOf(environment.settings.times), PlatformWatcherLease, membership,
             incarnation),
      watcher_(environment.dispatcher, environment.platform, workers, environment.journal,
               watcherOptionsOf(environment.settings.times),
               [this](const wire::WorkerView& view) { publish(view); }),
      backup_reader_(
          environment.dispatcher, environment.platform, workers,
          watcherOptionsOf(environment.settings.times),
          [this, &granter] { return lease_.held() || granter.hasHolder(PlatformWatcherLease); },
          [this](const wire::WorkerObservation& observation) { gossip_.observe(observation); }),
      start_timer_(environment.dispatcher.createTimer([this] { startWatcher(); })),
      campaign_timer_(environment.dispatcher.createTimer([this] {
        if (campaigning_) {
          lease_.start();
        }
      })) {
  watcher_.setUnreadableListener([this] { yieldLease(); });
  lease_.setListener([this](bool gained) { onLease(gained); });
}

void PlatformWatcherRole::startCampaign() {
  campaigning_ = true;
  lease_.start();
  backup_reader_.start();
}

void PlatformWatcherRole::stopCampaign() {
  campaigning_ = false;
  lease_.stop();
  backup_reader_.stop();
}

void PlatformWatcherRole::stop() {
  start_timer_->disable();
  campaign_timer_->disable();
  watcher_.stop();
  backup_reader_.stop();
  initial_view_pending_ = false;
}

void PlatformWatcherRole::onLease(bool gained) {
  reportLease(environment_.incidentSink(), lease_, PlatformWatcherLease, gained);
  if (!gained) {
    start_timer_->disable();
    watcher_.stop();
    return;
  }
  pullLastView();
  start_timer_->enable(ViewPullTime);
}

void PlatformWatcherRole::pullLastView() {
  for (const base::NodeAddress& front : frontsWithSessions(sessions_)) {
    gossip_.pullFrom(front);
  }
  for (const base::NodeAddress& core :
       membership_.peerAddresses(environment_.calls.localAddress())) {
    gossip_.pullFrom(core);
  }
}

void PlatformWatcherRole::startWatcher() {
  if (lease_.held()) {
    watcher_.start(lease_.term());
  }
}

void PlatformWatcherRole::yieldLease() {
  lease_.stop();
  campaign_timer_->enable(YieldTime);
}

void PlatformWatcherRole::publishInitialView() {
  initial_view_pending_ = true;
  environment_.platform.read(callbacks_.guard(
      [this](const workers::PlatformReading& reading) { onInitialReading(reading); }));
}

void PlatformWatcherRole::onInitialReading(const workers::PlatformReading& reading) {
  if (!initial_view_pending_ || reading.code != base::ResultCode::Ok) {
    return;
  }
  const bool known = workers_.view().term != 0 || !workers_.view().workers.empty();
  if (known || reading.workers.empty()) {
    return;
  }
  wire::WorkerView view{0, 1, reading.workers};
  for (wire::WorkerEntry& entry : view.workers) {
    entry.instance = workers::workerInstance(view.term, view.sequence);
  }
  publishToAll(view);
}

void PlatformWatcherRole::publish(const wire::WorkerView& view) {
  // The lease is checked against the clock, so that a process that resumes after a suspension
  // publishes nothing under an expired lease.
  if (lease_.held() && lease_.term() == view.term) {
    publishToAll(view);
  }
}

void PlatformWatcherRole::publishToAll(const wire::WorkerView& view) {
  std::vector<base::NodeAddress> nodes = frontsWithSessions(sessions_);
  for (const base::NodeAddress& core : membership_.coreAddresses()) {
    nodes.push_back(core);
  }
  gossip_.publishView(view, nodes);
}

LeaseStatus PlatformWatcherRole::status() const {
  return {PlatformWatcherLease, lease_.held(), lease_.term()};
}

}  // namespace switchsaddle::core
