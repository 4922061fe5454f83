#include "switchsaddle/core/core_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core_options.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/claims/claim_value.h"
#include "switchsaddle/node_options/node_options.h"
#include "switchsaddle/workers/worker_journal.h"

namespace switchsaddle::core {

namespace {

constexpr base::Duration ReopenPause = std::chrono::seconds(1);
/** For peers to tell a new watcher the last view, so that workers keep their instances. */
constexpr base::Duration WatcherPause = std::chrono::milliseconds(400);
constexpr base::Duration PeersInterval = std::chrono::milliseconds(500);
/** Left to the other cores to take the watcher's lease that this one gave back. */
constexpr base::Duration YieldPause = std::chrono::seconds(3);

registers::AcceptorOptions acceptorOptionsOf(const CoreFaults& faults) {
  registers::AcceptorOptions options;
  options.test_answer_before_sync = faults.answer_before_sync;
  return options;
}

http::Request requestOf(const wire::ControlRequest& forwarded) {
  http::Request request;
  request.method = forwarded.method;
  request.target = forwarded.target;
  request.body = forwarded.body;
  if (!forwarded.authorization.empty()) {
    request.headers.push_back({"Authorization", forwarded.authorization});
  }
  return request;
}

}  // namespace

CoreNode::CoreNode(const CoreEnvironment& environment)
    : environment_(environment),
      incarnation_(environment.random.next()),
      beliefs_(environment.journal),
      acceptor_(environment.dispatcher, environment.calls, environment.store, environment.journal,
                acceptorOptionsOf(environment.faults)),
      proposer_(environment.dispatcher, environment.calls, environment.random, acceptor_,
                proposerOptionsOf(environment.settings.times)),
      observed_proposer_(environment.dispatcher, proposer_, incidents()),
      bootstrap_(environment.dispatcher, environment.calls, acceptor_,
                 bootstrapOptionsOf(environment.settings)),
      set_change_(environment.dispatcher, environment.calls, acceptor_, proposer_),
      scrubber_(environment.dispatcher, environment.calls, environment.random, acceptor_, proposer_,
                environment.store),
      membership_(acceptor_),
      sessions_(environment.dispatcher, environment.calls, environment.journal,
                node_options::sessionTimesOf(environment.settings.times), membership_,
                environment.faults.sessions),
      quotas_(
          environment.dispatcher,
          [this](const QuotaAllocator::RecordVisitor& visitor) { sessions_.visitLocal(visitor); },
          environment.settings.forwarding.quotas),
      loads_(environment.dispatcher, environment.settings.times.session_core_limit),
      evidence_(environment.dispatcher),
      suspicion_(environment.dispatcher, evidence_),
      ranking_(environment.dispatcher, evidence_),
      granter_(environment.dispatcher, environment.calls, environment.store, environment.journal,
               leaseTimesOf(environment.settings.times)),
      replica_(environment.journal),
      gossip_(environment.dispatcher, environment.calls, environment.random, replica_, workers_,
              node_options::gossipOptionsOf(environment.settings.times)),
      tracker_(environment.dispatcher, environment.calls, sessions_, replica_),
      follower_(environment.dispatcher, observed_proposer_, membership_, replica_, tracker_),
      coordinator_(environment.dispatcher, observed_proposer_, replica_, tracker_, incidents(),
                   environment.settings.times.acknowledgement_deadline, environment.faults),
      watcher_lease_(environment.dispatcher, environment.calls, environment.random,
                     shortLeaseTimesOf(environment.settings.times), PlatformWatcherLease,
                     membership_, incarnation_),
      membership_lease_(environment.dispatcher, environment.calls, environment.random,
                        leaseTimesOf(environment.settings.times), CoreMembershipLease, membership_,
                        incarnation_),
      watcher_(environment.dispatcher, environment.platform, workers_, environment.journal,
               watcherOptionsOf(environment.settings.times),
               [this](const wire::WorkerView& view) { publishWorkers(view); }),
      reconciler_(
          environment.dispatcher, environment.calls, environment.journal, acceptor_, set_change_,
          [this] { return membership_lease_.held(); }, membershipOptionsOf(environment.settings)),
      claims_(environment.calls, observed_proposer_),
      ledgers_(environment.dispatcher, environment.calls, environment.random, observed_proposer_,
               membership_, leaseTimesOf(environment.settings.times), incarnation_),
      quota_leases_(environment.dispatcher, environment.calls, environment.random, membership_,
                    shortLeaseTimesOf(environment.settings.times), incarnation_),
      quota_ledger_(environment.dispatcher, environment.calls, quotas_,
                    environment.settings.forwarding.quotas.window_s,
                    [this](const std::string& tenant) { return quota_leases_.heldSince(tenant); }),
      control_(controlDependencies()),
      open_timer_(environment.dispatcher.createTimer([this] { openStore(); })),
      peers_timer_(environment.dispatcher.createTimer([this] { refreshPeers(); })),
      watcher_timer_(environment.dispatcher.createTimer([this] { startWatcher(); })),
      watcher_campaign_timer_(environment.dispatcher.createTimer([this] {
        if (campaigning_) {
          watcher_lease_.start();
        }
      })) {
  connectParts();
  handleControlRequests();
}

CoreNode::~CoreNode() = default;

ControlDependencies CoreNode::controlDependencies() {
  ReplaceCore replace = [this](const base::NodeAddress& old_member,
                               const base::NodeAddress& new_member,
                               std::function<void(base::ResultCode)> callback) {
    reconciler_.replace(old_member, new_member, std::move(callback));
  };
  return {environment_.dispatcher,
          observed_proposer_,
          coordinator_,
          sessions_,
          replica_,
          *this,
          std::move(replace),
          environment_.settings.operator_hashes,
          environment_.faults.read_unconfirmed};
}

void CoreNode::connectParts() {
  workers::journalChanges(workers_, environment_.journal);
  workers_.addListener([this](const workers::WorkerSnapshotPtr& /*before*/,
                              const workers::WorkerSnapshotPtr& after) {
    suspicion_.setWorkers(after);
    ranking_.setWorkers(after);
    if (ranking_.ranks().empty()) {
      ranked_at_.reset();
      refreshRanking();
    }
  });
  sessions_.setRecordListener([this](const wire::SessionRecord& record) {
    evidence_.update({record.front, record.instance}, record.zone, record.health);
    loads_.update(record);
  });
  sessions_.setGrantSource(
      [this](const wire::SessionRecord& record, wire::SessionOpenReply& granted) {
        addToGrant(record, granted);
      });
  reconciler_.setShortfallListener(
      [this](const std::string& lacking) { reportShortfall(lacking); });
  granter_.setMayVote([this] { return acceptor_.mayVote() && !membership_.joining(); });
  scrubber_.setOtherRecords([this] { return granter_.records(); });
  granter_.setEpochSource([this] { return membership_.setEpoch(); });
  granter_.setCommitFailureListener(
      [this](base::ResultCode code) { acceptor_.noteCommitFailure(code); });
  acceptor_.setLifetimeSource(claims::claimLifetime);
  acceptor_.setAcceptedListener([this](const std::string& key, const std::string& value) {
    if (key == registers::ConfigurationRegister) {
      follower_.onAccepted(value);
    }
  });
  acceptor_.addSetListener([this](const wire::AcceptorSet&) { followMembership(); });
  bootstrap_.setCandidateListener(
      [this](const wire::CoreAnnounce& candidate) { reconciler_.onCandidate(candidate); });
  coordinator_.setCommittedListener([this](const wire::ConfigurationDelta& delta) {
    for (const base::NodeAddress& core : membership_.coreAddresses()) {
      if (core != environment_.calls.localAddress()) {
        environment_.calls.notify(core, delta);
      }
    }
  });
  watcher_.setUnreadableListener([this] { yieldWatcherLease(); });
  watcher_lease_.setListener([this](bool gained) { onWatcherLease(gained); });
  membership_lease_.setListener([this](bool gained) { onMembershipLease(gained); });
  replica_.addListener([this](const dissemination::ViewPtr& view) {
    ledgers_.setConfiguration(*view);
    quotas_.setConfiguration(view);
  });
}

void CoreNode::handleControlRequests() {
  environment_.calls.handle<wire::ControlRequest>(
      [this, alive = std::weak_ptr(alive_)](const base::NodeAddress& /*from*/,
                                            const wire::ControlRequest& forwarded,
                                            const transport::ReplyFunction& reply) {
        if (alive.expired()) {
          return;
        }
        control_.handle(requestOf(forwarded), [reply](http::Response response) {
          reply(wire::ControlReply{response.status, std::move(response.body)});
        });
      });
}

void CoreNode::start() {
  openStore();
}

void CoreNode::openStore() {
  environment_.store.open([this, alive = std::weak_ptr(alive_)](
                              base::ResultCode code, const storage::OpenedStore& opened) {
    if (!alive.expired()) {
      onOpened(code, opened);
    }
  });
}

void CoreNode::onOpened(base::ResultCode code, const storage::OpenedStore& opened) {
  if (code != base::ResultCode::Ok) {
    storage_fault_ = base::describe(code).name;
    base::Incident incident;
    incident.event = "storage-not-opened";
    incident.severity = base::Severity::Error;
    incident.code = code;
    incident.dumps_ring = true;
    incidents().report(incident);
    open_timer_->enable(ReopenPause);
    return;
  }
  storage_fault_ = opened.loss;
  if (!opened.loss.empty()) {
    base::Incident incident;
    incident.event = "storage-lost";
    incident.severity = base::Severity::Error;
    incident.code = base::ResultCode::RecordCorrupt;
    incident.fields = {{"reason", opened.loss}};
    incidents().report(incident);
  }
  try {
    acceptor_.load(opened);
    granter_.load(opened);
  } catch (const base::Error& error) {
    storage_fault_ = error.what();
    environment_.journal.append(journal::Subject::Storage, "load", error.what(), 0);
    open_timer_->enable(ReopenPause);
    return;
  }
  environment_.journal.append(journal::Subject::Storage, "instance",
                              std::to_string(opened.instance), 0);
  activate();
}

void CoreNode::activate() {
  active_ = true;
  if (const std::string* value = acceptor_.acceptedValue(registers::ConfigurationRegister)) {
    follower_.onAccepted(*value);
  }
  bootstrap_.start();
  scrubber_.start();
  if (environment_.settings.list_before_lease) {
    readFirstWorkers();
  }
  follower_.start();
  followMembership();
  gossip_.start();
  refreshPeers();
}

void CoreNode::followMembership() {
  const bool may_campaign = active_ && membership_.isMember();
  followQuotas(may_campaign);
  if (may_campaign == campaigning_) {
    return;
  }
  campaigning_ = may_campaign;
  if (may_campaign) {
    watcher_lease_.start();
    membership_lease_.start();
    ledgers_.start();
  } else {
    watcher_lease_.stop();
    membership_lease_.stop();
    ledgers_.stop();
  }
}

void CoreNode::followQuotas(bool may_campaign) {
  if (sessions_.recovering()) {
    quotas_.stopReceiving();
  }
  quota_leases_.setCampaigning(may_campaign && quotas_.mayDecide());
}

void CoreNode::stop(std::function<void()> stopped) {
  open_timer_->disable();
  peers_timer_->disable();
  if (active_) {
    watcher_timer_->disable();
    watcher_campaign_timer_->disable();
    watcher_.stop();
    reconciler_.stop();
    follower_.stop();
    gossip_.stop();
  }
  active_ = false;
  followMembership();
  environment_.dispatcher.post(std::move(stopped));
}

base::IncidentSink& CoreNode::incidents() const {
  return environment_.incidents == nullptr ? base::ignoredIncidents() : *environment_.incidents;
}

void CoreNode::reportLease(const lease::LeaseHolder& holder, const char* name, bool gained) {
  base::Incident incident;
  incident.event = gained ? "lease-gained" : "lease-lost";
  incident.fields = {{"lease", name}, {"term", gained ? std::to_string(holder.term()) : ""}};
  incidents().report(incident);
}

void CoreNode::reportShortfall(const std::string& lacking) {
  base::Incident incident;
  incident.event = "tolerance-not-met";
  incident.severity = lacking.empty() ? base::Severity::Info : base::Severity::Warning;
  incident.code = lacking.empty() ? base::ResultCode::Ok : base::ResultCode::ToleranceNotMet;
  incident.fields = {{"lacking", lacking},
                     {"members", std::to_string(acceptor_.acceptorSet().members.size())}};
  incidents().report(incident);
}

void CoreNode::onWatcherLease(bool gained) {
  reportLease(watcher_lease_, PlatformWatcherLease, gained);
  if (!gained) {
    watcher_timer_->disable();
    watcher_.stop();
    return;
  }
  for (const base::NodeAddress& front : frontsWithSessions()) {
    gossip_.pullFrom(front);
  }
  for (const base::NodeAddress& core : membership_.coreAddresses()) {
    if (core != environment_.calls.localAddress()) {
      gossip_.pullFrom(core);
    }
  }
  watcher_timer_->enable(WatcherPause);
}

void CoreNode::yieldWatcherLease() {
  watcher_lease_.stop();
  watcher_campaign_timer_->enable(YieldPause);
}

void CoreNode::readFirstWorkers() {
  environment_.platform.read(
      [this, alive = std::weak_ptr(alive_)](const workers::PlatformReading& reading) {
        if (alive.expired() || !active_ || reading.code != base::ResultCode::Ok) {
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
      });
}

void CoreNode::startWatcher() {
  if (watcher_lease_.held()) {
    watcher_.start(watcher_lease_.term());
  }
}

void CoreNode::onMembershipLease(bool gained) {
  reportLease(membership_lease_, CoreMembershipLease, gained);
  if (gained) {
    reconciler_.start();
  } else {
    reconciler_.stop();
  }
}

void CoreNode::publishWorkers(const wire::WorkerView& view) {
  // Judged by the clock at this moment, so that a node woken from a freeze publishes nothing.
  if (!watcher_lease_.held() || watcher_lease_.term() != view.term) {
    return;
  }
  publishToAll(view);
}

void CoreNode::publishToAll(const wire::WorkerView& view) {
  std::vector<base::NodeAddress> first = frontsWithSessions();
  for (const base::NodeAddress& core : membership_.coreAddresses()) {
    first.push_back(core);
  }
  gossip_.publishView(view, first);
}

std::vector<base::NodeAddress> CoreNode::frontsWithSessions() const {
  std::set<base::NodeAddress> fronts;
  sessions_.visitLocal(
      [&fronts](const wire::SessionRecord& record) { fronts.insert(record.front); });
  return {fronts.begin(), fronts.end()};
}

void CoreNode::refreshPeers() {
  peers_timer_->enable(PeersInterval);
  followMembership();
  refreshRanking();
  std::vector<base::NodeAddress> peers = frontsWithSessions();
  for (const base::NodeAddress& core : membership_.coreAddresses()) {
    peers.push_back(core);
  }
  gossip_.setPeers(std::move(peers));
}

NodeStatus CoreNode::status() const {
  NodeStatus status;
  status.address = environment_.calls.localAddress();
  status.zone = environment_.settings.zone;
  status.instance = acceptor_.instance();
  status.may_vote = acceptor_.mayVote();
  status.register_count = acceptor_.registerCount();
  status.storage_fault = storage_fault_;
  status.acceptor_set = acceptor_.acceptorSet();
  status.leases.push_back({PlatformWatcherLease, watcher_lease_.held(), watcher_lease_.term()});
  status.leases.push_back(
      {CoreMembershipLease, membership_lease_.held(), membership_lease_.term()});
  ledgers_.appendStatus(status.leases);
  quota_leases_.appendStatus(status.leases);
  return status;
}

}  // namespace switchsaddle::core
