#include "switchsaddle/core/node/core_node.h"

#include <utility>

#include "node/core_options.h"
#include "switchsaddle/core/telemetry/session_fronts.h"
#include "switchsaddle/node_options/node_options.h"
#include "switchsaddle/workers/worker_journal.h"

namespace switchsaddle::core {

namespace {

constexpr base::Duration PeersInterval = std::chrono::milliseconds(500);

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
      state_view_(environment.journal),
      registers_(environment),
      sessions_(environment.dispatcher, environment.calls, environment.journal,
                node_options::sessionTimesOf(environment.settings.times), registers_.membership,
                environment.faults.sessions),
      telemetry_(environment, sessions_, workers_),
      granter_(environment.dispatcher, environment.calls, environment.store, environment.journal,
               leaseTimesOf(environment.settings.times)),
      configuration_(environment, registers_, sessions_, workers_),
      watcher_role_(environment, registers_.membership, incarnation_, granter_, sessions_, workers_,
                    configuration_.gossip),
      membership_role_(environment, registers_, incarnation_),
      stalled_change_monitor_(environment.dispatcher, environment.incidentSink(),
                              registers_.acceptor, registers_.set_change),
      claims_(environment.calls, registers_.proposer),
      ledgers_(environment.dispatcher, environment.calls, environment.random, registers_.proposer,
               registers_.membership, leaseTimesOf(environment.settings.times), incarnation_),
      quota_role_(environment, registers_.membership, incarnation_, telemetry_.quotas()),
      control_(controlDependencies()),
      recovery_(environment, registers_.acceptor, granter_, [this] { activate(); }),
      peers_timer_(environment.dispatcher.createTimer([this] { onPeersTimer(); })) {
  connectWorkers();
  connectSessions();
  connectGranter();
  connectConfiguration();
  handleControlRequests();
}

CoreNode::~CoreNode() = default;

ControlDependencies CoreNode::controlDependencies() {
  ReplaceCore replace = [this](const base::NodeAddress& old_member,
                               const base::NodeAddress& new_member,
                               std::function<void(base::ResultCode)> callback) {
    membership_role_.reconciler().replace(old_member, new_member, std::move(callback));
  };
  return {environment_.dispatcher,
          registers_.proposer,
          configuration_.coordinator,
          sessions_,
          configuration_.replica,
          *this,
          std::move(replace),
          environment_.settings.operator_hashes,
          environment_.faults.read_unconfirmed,
          environment_.strand_watch};
}

void CoreNode::connectWorkers() {
  workers::journalChanges(workers_, environment_.journal);
  workers_.addListener(
      [this](const workers::WorkerSnapshotPtr& /*before*/,
             const workers::WorkerSnapshotPtr& after) { telemetry_.setWorkers(after); });
  telemetry_.setRankingListener(
      [this](const worker_health::TopChange& change) { reportTopChange(change); });
}

void CoreNode::connectSessions() {
  sessions_.setRecordListener(
      [this](const wire::SessionRecord& record) { telemetry_.update(record); });
  sessions_.setGrantSource(
      [this](const wire::SessionRecord& record, wire::SessionOpenReply& granted) {
        telemetry_.addToGrant(record, granted);
      });
}

void CoreNode::connectGranter() {
  granter_.setMayVote(
      [this] { return registers_.acceptor.mayVote() && !registers_.membership.joining(); });
  granter_.setEpochSource([this] { return registers_.membership.setEpoch(); });
  granter_.setCommitFailureListener(
      [this](base::ResultCode code) { registers_.acceptor.reportCommitFailure(code); });
  registers_.scrubber.setSharedStoreRecords([this] { return granter_.records(); });
  registers_.acceptor.addSetListener([this](const wire::AcceptorSet&) { updateCampaigns(); });
}

void CoreNode::connectConfiguration() {
  configuration_.replica.addListener([this](const dissemination::ViewPtr& view) {
    ledgers_.setConfiguration(*view);
    telemetry_.setConfiguration(view);
  });
}

void CoreNode::handleControlRequests() {
  environment_.calls.handle<wire::ControlRequest>(callbacks_.guard(
      [this](const base::NodeAddress& /*from*/, const wire::ControlRequest& forwarded,
             const transport::ReplyFunction& reply) {
        control_.handle(requestOf(forwarded), [reply](http::Response response) {
          reply(wire::ControlReply{response.status, std::move(response.body)});
        });
      }));
}

void CoreNode::start() {
  recovery_.start();
}

void CoreNode::activate() {
  active_ = true;
  if (const std::string* value =
          registers_.acceptor.acceptedValue(registers::ConfigurationRegister)) {
    configuration_.follower.onAccepted(*value);
  }
  registers_.bootstrap.start();
  registers_.scrubber.start();
  if (!environment_.faults.ignore_stalled_set_changes) {
    stalled_change_monitor_.start();
  }
  if (environment_.settings.list_before_lease) {
    watcher_role_.publishInitialView();
  }
  configuration_.follower.start();
  updateCampaigns();
  configuration_.gossip.start();
  onPeersTimer();
}

void CoreNode::updateCampaigns() {
  const bool is_member = active_ && registers_.membership.isMember();
  if (sessions_.recovering()) {
    telemetry_.quotas().stopReceiving();
  }
  quota_role_.setMember(is_member);
  if (is_member == campaigning_) {
    return;
  }
  campaigning_ = is_member;
  if (is_member) {
    watcher_role_.startCampaign();
    membership_role_.startCampaign();
    ledgers_.start();
  } else {
    watcher_role_.stopCampaign();
    membership_role_.stopCampaign();
    ledgers_.stop();
  }
}

void CoreNode::stop(std::function<void()> stopped) {
  recovery_.stop();
  peers_timer_->disable();
  if (active_) {
    watcher_role_.stop();
    membership_role_.stop();
    stalled_change_monitor_.stop();
    configuration_.follower.stop();
    configuration_.gossip.stop();
  }
  active_ = false;
  updateCampaigns();
  environment_.dispatcher.post(std::move(stopped));
}

void CoreNode::onPeersTimer() {
  peers_timer_->enable(PeersInterval);
  updateCampaigns();
  telemetry_.refreshRanking();
  std::vector<base::NodeAddress> peers = frontsWithSessions(sessions_);
  for (const base::NodeAddress& core : registers_.membership.coreAddresses()) {
    peers.push_back(core);
  }
  configuration_.gossip.setPeers(std::move(peers));
}

void CoreNode::reportTopChange(const worker_health::TopChange& change) {
  // All cores compute the same ranking; only the holder of the membership lease reports.
  if (!membership_role_.holdsLease()) {
    return;
  }
  base::Incident incident;
  incident.event = "sickest-worker";
  incident.severity = change.worker.empty() ? base::Severity::Info : base::Severity::Warning;
  incident.fields = {{"worker", change.worker}, {"before", change.before}};
  environment_.incidentSink().report(incident);
}

NodeStatus CoreNode::status() const {
  const registers::Acceptor& acceptor = registers_.acceptor;
  NodeStatus status;
  status.address = environment_.calls.localAddress();
  status.zone = environment_.settings.zone;
  status.instance = acceptor.instance();
  status.may_vote = acceptor.mayVote();
  status.register_count = acceptor.registerCount();
  status.storage_fault = recovery_.fault();
  status.acceptor_set = acceptor.acceptorSet();
  status.leases.push_back(watcher_role_.status());
  status.leases.push_back(membership_role_.status());
  ledgers_.appendStatus(status.leases);
  quota_role_.appendStatus(status.leases);
  return status;
}

}  // namespace switchsaddle::core
