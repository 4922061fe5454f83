#include "switchsaddle/front/node/front_node.h"

#include <utility>

#include "node/state_reporter.h"
#include "switchsaddle/base/log.h"
#include "switchsaddle/node_options/node_options.h"
#include "switchsaddle/workers/worker_journal.h"

namespace switchsaddle::front {

namespace {

/** Interval of refreshing the membership of fronts and cores. */
constexpr base::Duration MembershipInterval = std::chrono::milliseconds(250);
/** Share of a deployment's retry allowance that is used; the remainder covers fronts that start,
 * end and restart. */
constexpr double UsedRetryShare = 0.7;
/** Interval of checking whether all requests have ended during a graceful shutdown. */
constexpr base::Duration StopPollInterval = std::chrono::milliseconds(50);

routing::RouterOptions routerOptions(const configuration::ForwardingSettings& settings) {
  routing::RouterOptions options;
  options.work_lanes = settings.work_lanes;
  options.fleet_loads = settings.fleet_loads;
  return options;
}

QuotaOptions quotaOptions(const configuration::ForwardingSettings& settings) {
  QuotaOptions options;
  options.bounds = settings.quotas;
  return options;
}

claims::ClaimClientOptions claimOptions(const configuration::TimeSettings& settings) {
  claims::ClaimClientOptions options;
  options.core_timeout = settings.core_timeout;
  options.deadline = settings.register_deadline;
  return options;
}

}  // namespace

FrontNode::FrontNode(const FrontEnvironment& environment)
    : environment_(environment),
      replica_(environment.journal),
      session_(environment.dispatcher, environment.calls, environment.random,
               node_options::sessionTimesOf(environment.settings.times), environment.settings.seeds,
               sessions::FrontIdentity{environment.calls.localAddress(), environment.instance,
                                       environment.settings.zone},
               environment.session_faults),
      gossip_(environment.dispatcher, environment.calls, environment.random, replica_, directory_,
              node_options::gossipOptionsOf(environment.settings.times)),
      router_(environment.dispatcher, environment.random, environment.calls.localAddress(),
              routerOptions(environment.settings.forwarding)),
      claims_(
          environment.dispatcher, environment.calls, [this] { return session_.coreAddresses(); },
          claimOptions(environment.settings.times)),
      ledger_slots_(
          environment.dispatcher, environment.calls, environment.instance,
          [this] { return session_.coreAddresses(); }, admission::SlotBrokerOptions{}),
      state_reporter_(std::make_unique<StateReporter>(
          environment.dispatcher, environment.journal,
          StateOwner{environment.calls.localAddress(), environment.instance}, session_,
          ledger_slots_)),
      retries_(environment.dispatcher),
      circuit_(environment.dispatcher),
      streams_(StreamEnvironment{environment.dispatcher, environment.random, slots(),
                                 servingSession(), router_, environment.workers, *this, retries_,
                                 circuit_, counters_, stages_, environment.incidents,
                                 environment.check_sequence, environment.response_memory}),
      one_shots_(OneShotEnvironment{environment.dispatcher, environment.random, claims(), slots(),
                                    servingSession(), environment.workers, *this, retries_,
                                    circuit_, counters_, environment.response_memory}),
      health_(environment.dispatcher),
      quota_ledgers_(environment.dispatcher, environment.calls, environment.instance,
                     [this] { return session_.coreAddresses(); }),
      quotas_(environment.dispatcher, quotaOptions(environment.settings.forwarding),
              &quota_ledgers_),
      placer_(environment.dispatcher, environment.random, router_, circuit_, *this,
              environment.calls.localAddress()),
      forwards_(createForwardFlow()),
      control_(environment.calls, [this] { return session_.coreAddresses(); }),
      service_(CallerDependencies{
          environment.dispatcher, servingSession(), *this, router_, streams_, one_shots_, control_,
          counters_, environment.settings.operator_hashes,
          [this] { return state_reporter_->report(); }, [this] { return metricsText(); },
          [this] { return nodeReport(); }, environment.incidents, forwards_.get(),
          environment.forward_headers, environment.settings.lapsed_session}),
      monitor_(
          environment.dispatcher, session_,
          environment.incidents == nullptr ? base::ignoredIncidents() : *environment.incidents),
      history_(environment.dispatcher, environment.calls.localAddress()) {
  connectComponents();
}

FrontNode::~FrontNode() {
  // Both flows end before any component or run is destroyed: a slot that is released by one flow
  // must not start a request in the other.
  const auto ended_streams = streams_.abandon();
  const auto ended_one_shots = one_shots_.abandon();
  forwards_.reset();
}

std::unique_ptr<ForwardFlow> FrontNode::createForwardFlow() {
  if (environment_.forward_port == nullptr) {
    return nullptr;
  }
  const configuration::ForwardingSettings& settings = environment_.settings.forwarding;
  const RetryAllowance allowance{settings.retry_share * UsedRetryShare,
                                 settings.retry_extra * UsedRetryShare};
  return std::make_unique<ForwardFlow>(ForwardEnvironment{
      environment_.dispatcher, environment_.random, *environment_.forward_port, placer_, *this,
      retries_, circuit_, quotas_, health_, counters_, environment_.forward_headers, allowance,
      environment_.incidents, environment_.response_memory});
}

admission::SlotBroker& FrontNode::slots() {
  if (environment_.slots != nullptr) {
    return *environment_.slots;
  }
  return ledger_slots_;
}

claims::ClaimClient& FrontNode::claims() {
  if (environment_.claims != nullptr) {
    return *environment_.claims;
  }
  return claims_;
}

const sessions::SessionClient& FrontNode::servingSession() const {
  if (environment_.serving_session != nullptr) {
    return *environment_.serving_session;
  }
  return session_;
}

void FrontNode::connectComponents() {
  connectConfiguration();
  connectGossip();
  connectSession();
  membership_timer_ = environment_.dispatcher.createTimer([this] { refreshMembership(); });
  stop_timer_ = environment_.dispatcher.createTimer([this] { continueStop(); });
  router_.setConfiguration(replica_.view());
  router_.setWorkers(directory_.snapshot());
}

void FrontNode::connectConfiguration() {
  workers::journalChanges(directory_, environment_.journal);
  replica_.addListener([this](const dissemination::ViewPtr& view) { onConfiguration(view); });
  directory_.addListener(
      [this](const workers::WorkerSnapshotPtr& /*before*/,
             const workers::WorkerSnapshotPtr& after) { router_.setWorkers(after); });
}

void FrontNode::connectGossip() {
  gossip_.setScoreSource([this] { return router_.exportScores(); });
  gossip_.setScoreSink(
      [this](const std::vector<wire::RouteScore>& scores) { router_.importScores(scores); });
}

void FrontNode::connectSession() {
  session_.setCommittedListener([this](std::uint64_t version, const base::NodeAddress& core) {
    if (version > replica_.version()) {
      gossip_.pullFrom(core);
    }
  });
  session_.setRecordSource([this](wire::SessionRecord& record) {
    record.demand = quotas_.demand();
    record.completed_requests = quota_ledgers_.completedRequests();
    record.health = health_.statement();
    record.load = placer_.load();
    record.fleet_knowledge = history_.fleetKnowledge();
  });
  session_.setGrantListener([this](const wire::SessionOpenReply& granted) { onGranted(granted); });
}

void FrontNode::onGranted(const wire::SessionOpenReply& granted) {
  if (granted.quotas_complete) {
    quotas_.setAllocations(granted.allocations);
  } else if (quotas_.hasTenants()) {
    // This core has restarted without state; another may have a record of what the fleet has
    // admitted.
    session_.switchToAnotherCore();
  }
  if (environment_.settings.forwarding.fleet_loads) {
    placer_.setPeerLoads(granted.load);
  }
  if (granted.health.known) {
    health_.setWatched(granted.health.watched);
    placer_.setEjected(granted.health.ejected);
  }
}

void FrontNode::start() {
  session_.start();
  gossip_.start();
  monitor_.start();
  refreshMembership();
}

void FrontNode::onConfiguration(const dissemination::ViewPtr& view) {
  router_.setConfiguration(view);
  session_.observeNewerVersion(replica_.version());
  session_.setApplied(replica_.version(), replica_.digest());
  const bool has_workers_in_maintenance = !view->workers_in_maintenance.empty();
  if (forwards_ && has_workers_in_maintenance) {
    forwards_->migrateFromMaintenance(*view);
  }
}

void FrontNode::refreshMembership() {
  state_reporter_->poll();
  history_.update(session_.frontAddresses());
  const std::vector<base::NodeAddress> fronts = history_.recent();
  std::vector<base::NodeAddress> peers = session_.coreAddresses();
  peers.insert(peers.end(), fronts.begin(), fronts.end());
  gossip_.setPeers(std::move(peers));
  router_.setFronts(fronts);
  placer_.setFronts(fronts);
  quotas_.setFronts(fronts.size());
  if (forwards_) {
    forwards_->setFronts(fronts.size());
  }
  pullMissingWorkers();
  membership_timer_->enable(MembershipInterval);
}

void FrontNode::pullMissingWorkers() {
  const std::vector<base::NodeAddress>& cores = session_.coreAddresses();
  if (forwards_ && directory_.snapshot()->workers.empty() && !cores.empty()) {
    gossip_.pullFrom(cores[environment_.random.below(cores.size())]);
  }
}

std::shared_ptr<const configuration::View> FrontNode::configuration() const {
  return replica_.view();
}

workers::WorkerSnapshotPtr FrontNode::workers() const {
  return directory_.snapshot();
}

void FrontNode::observeDraining(const workers::Worker& worker) {
  wire::WorkerObservation observation;
  observation.worker = worker.entry.id;
  observation.instance = worker.entry.instance;
  observation.draining = true;
  gossip_.observe(observation);
}

void FrontNode::observeRefused(const workers::Worker& /*worker*/) {}

void FrontNode::stop(std::function<void()> stopped) {
  stopped_ = std::move(stopped);
  service_.stop();
  const base::TimePoint now = environment_.dispatcher.now();
  stop_deadline_ = now + environment_.settings.times.stop_deadline;
  stop_notice_until_ = now + environment_.settings.times.stop_notice;
  continueStop();
}

bool FrontNode::isIdle() const {
  const bool is_forwarding = forwards_ && forwards_->active() > 0;
  return streams_.active() == 0 && one_shots_.active() == 0 && !is_forwarding;
}

void FrontNode::reportUnansweredRequests() const {
  const std::size_t forwards = forwards_ ? forwards_->active() : 0;
  base::logEvent(base::Severity::Warning, "stop-deadline-passed",
                 {{"streams", std::to_string(streams_.active())},
                  {"one_shots", std::to_string(one_shots_.active())},
                  {"forwards", std::to_string(forwards)}});
}

void FrontNode::continueStop() {
  const base::TimePoint now = environment_.dispatcher.now();
  const bool notice_passed = now >= stop_notice_until_;
  if (notice_passed) {
    // New requests could not end before the deadline. They are rejected, so that they are retried
    // at another front.
    service_.stopForwarding();
  }
  if (!(isIdle() && notice_passed) && now < stop_deadline_) {
    stop_timer_->enable(StopPollInterval);
    return;
  }
  if (!isIdle()) {
    reportUnansweredRequests();
  }
  if (forwards_) {
    forwards_->answerAll();
  }
  gossip_.stop();
  monitor_.stop();
  session_.close(std::exchange(stopped_, nullptr));
}

}  // namespace switchsaddle::front
