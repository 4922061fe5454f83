#include "switchsaddle/front/front_node.h"

#include <utility>

#include "state_reporter.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/node_options/node_options.h"
#include "switchsaddle/workers/worker_journal.h"

namespace switchsaddle::front {

namespace {

constexpr base::Duration PeersInterval = std::chrono::milliseconds(250);
/** Part of the repeats that a deployment allows: the rest covers fronts that come, go and restart.
 */
constexpr double RetriesUsed = 0.7;
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
      beliefs_(std::make_unique<StateReporter>(
          environment.dispatcher, environment.journal,
          StateOwner{environment.calls.localAddress(), environment.instance}, session_,
          ledger_slots_)),
      retries_(environment.dispatcher),
      circuit_(environment.dispatcher),
      streams_(StreamEnvironment{environment.dispatcher, environment.random, slots(),
                                 servingSession(), router_, environment.workers, *this, retries_,
                                 circuit_, counters_, stages_, environment.incidents,
                                 environment.check_sequence}),
      one_shots_(OneShotEnvironment{environment.dispatcher, environment.random, claims(), slots(),
                                    servingSession(), environment.workers, *this, retries_,
                                    circuit_, counters_}),
      health_(environment.dispatcher),
      quota_ledgers_(environment.dispatcher, environment.calls, environment.instance,
                     [this] { return session_.coreAddresses(); }),
      quotas_(environment.dispatcher, quotaOptions(environment.settings.forwarding),
              &quota_ledgers_),
      placer_(environment.dispatcher, environment.random, router_, circuit_, *this,
              environment.calls.localAddress()),
      forwards_(createForwards()),
      control_(environment.calls, [this] { return session_.coreAddresses(); }),
      service_(CallerDependencies{
          environment.dispatcher, servingSession(), *this, router_, streams_, one_shots_, control_,
          counters_, environment.settings.operator_hashes, [this] { return beliefs_->report(); },
          [this] { return metricsText(); }, [this] { return nodeReport(); }, environment.incidents,
          forwards_.get(), environment.forward_headers, environment.settings.lapsed_session}),
      monitor_(
          environment.dispatcher, session_,
          environment.incidents == nullptr ? base::ignoredIncidents() : *environment.incidents),
      history_(environment.dispatcher, environment.calls.localAddress()) {
  connectParts();
}

FrontNode::~FrontNode() {
  // Before any part goes, and both before any run goes: a slot that one flow gives back must not
  // set off work in the other.
  const auto ended_streams = streams_.abandon();
  const auto ended_one_shots = one_shots_.abandon();
  forwards_.reset();
}

std::unique_ptr<ForwardFlow> FrontNode::createForwards() {
  if (environment_.forward_port == nullptr) {
    return nullptr;
  }
  const configuration::ForwardingSettings& settings = environment_.settings.forwarding;
  const RetryAllowance allowance{settings.retry_share * RetriesUsed,
                                 settings.retry_extra * RetriesUsed};
  return std::make_unique<ForwardFlow>(
      ForwardEnvironment{environment_.dispatcher, environment_.random, *environment_.forward_port,
                         placer_, *this, retries_, circuit_, quotas_, health_, counters_,
                         environment_.forward_headers, allowance, environment_.incidents});
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

void FrontNode::connectParts() {
  workers::journalChanges(directory_, environment_.journal);
  replica_.addListener([this](const dissemination::ViewPtr& view) { onConfiguration(view); });
  directory_.addListener(
      [this](const workers::WorkerSnapshotPtr& /*before*/,
             const workers::WorkerSnapshotPtr& after) { router_.setWorkers(after); });
  session_.setCommittedListener([this](std::uint64_t version, const base::NodeAddress& core) {
    if (version > replica_.version()) {
      gossip_.pullFrom(core);
    }
  });
  gossip_.setScoreSource([this] { return router_.exportScores(); });
  gossip_.setScoreSink(
      [this](const std::vector<wire::RouteScore>& scores) { router_.importScores(scores); });
  session_.setRecordSource([this](wire::SessionRecord& record) {
    record.demand = quotas_.demand();
    record.settled_requests = quota_ledgers_.settledRequests();
    record.health = health_.statement();
    record.load = placer_.load();
    record.fleet_knowledge = history_.fleet_knowledge();
  });
  session_.setGrantListener([this](const wire::SessionOpenReply& granted) { onGranted(granted); });
  peers_timer_ = environment_.dispatcher.createTimer([this] { refreshPeers(); });
  stop_timer_ = environment_.dispatcher.createTimer([this] { awaitEndOfWork(); });
  router_.setConfiguration(replica_.view());
  router_.setWorkers(directory_.snapshot());
}

void FrontNode::onGranted(const wire::SessionOpenReply& granted) {
  if (granted.quotas_known) {
    quotas_.setAllocations(granted.allocations);
  } else if (quotas_.holdsTenants()) {
    // This core has lost its memory; another may know what the fleet let in.
    session_.turnToAnotherCore();
  }
  if (environment_.settings.forwarding.fleet_loads) {
    placer_.setPeerLoads(granted.load);
  }
  if (granted.health.known) {
    health_.setWatched(granted.health.watched);
    placer_.setAvoided(granted.health.avoided);
  }
}

void FrontNode::start() {
  session_.start();
  gossip_.start();
  monitor_.start();
  refreshPeers();
}

void FrontNode::onConfiguration(const dissemination::ViewPtr& view) {
  router_.setConfiguration(view);
  session_.noteNewerVersionSeen(replica_.version());
  session_.setApplied(replica_.version(), replica_.digest());
  const bool has_workers_in_maintenance = !view->workers_in_maintenance.empty();
  if (forwards_ && has_workers_in_maintenance) {
    forwards_->migrateFromMaintenance(*view);
  }
}

void FrontNode::refreshPeers() {
  beliefs_->poll();
  history_.see(session_.frontAddresses());
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
  const std::vector<base::NodeAddress>& cores = session_.coreAddresses();
  if (forwards_ && directory_.snapshot()->workers.empty() && !cores.empty()) {
    gossip_.pullFrom(cores[environment_.random.below(cores.size())]);
  }
  peers_timer_->enable(PeersInterval);
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
  awaitEndOfWork();
}

bool FrontNode::isIdle() const {
  const bool forwarding = forwards_ && forwards_->active() > 0;
  return streams_.active() == 0 && one_shots_.active() == 0 && !forwarding;
}

void FrontNode::awaitEndOfWork() {
  const base::TimePoint now = environment_.dispatcher.now();
  const bool noticed = now >= stop_notice_until_;
  if (noticed) {
    // What came now could not end before the deadline; it has not run, and another front takes it.
    service_.stopForwarding();
  }
  if (!(isIdle() && noticed) && now < stop_deadline_) {
    stop_timer_->enable(StopPollInterval);
    return;
  }
  gossip_.stop();
  monitor_.stop();
  session_.close(std::exchange(stopped_, nullptr));
}

std::string FrontNode::metricsText() const {
  metrics::Page page;
  counters_.appendTo(page);
  page.counter("queue_refusals_total", "Requests refused since too many waited for the strand.",
               static_cast<double>(service_.queueRefusals()));
  page.gauge("open_streams", "Streams not yet ended.", static_cast<double>(streams_.active()));
  page.gauge("open_one_shots", "One-shots not yet ended.",
             static_cast<double>(one_shots_.active()));
  page.gauge("ready", "1 where this front takes new work.", service_.ready() ? 1 : 0);
  const std::string state(sessionStateName(session_.state()));
  page.gauge("session_state", "1 for the state the session is in.", 1, {{"state", state}});
  page.gauge("configuration_version", "Version of the configuration in force here.",
             static_cast<double>(replica_.version()));
  page.gauge("workers", "Workers known here.",
             static_cast<double>(directory_.snapshot()->workers.size()));
  if (environment_.process_metrics) {
    environment_.process_metrics(page);
  }
  return page.text();
}

std::string FrontNode::nodeReport() const {
  const std::shared_ptr<const configuration::View> view = replica_.view();
  configuration::JsonWriter writer;
  writer.beginObject();
  writer.name("address").string(environment_.calls.localAddress().toString());
  writer.name("zone").string(environment_.settings.zone);
  writer.name("ready").boolean(service_.ready());
  writer.name("session").string(sessionStateName(session_.state()));
  writer.name("version").unsignedInteger(replica_.version());
  writer.name("digest").string(configuration::digestText(replica_.digest()));
  writer.name("workers").unsignedInteger(directory_.snapshot()->workers.size());
  writer.name("open_streams").unsignedInteger(streams_.active());
  writer.name("open_one_shots").unsignedInteger(one_shots_.active());
  writer.name("open_forwarded").unsignedInteger(forwards_ ? forwards_->active() : 0);
  writer.name("evacuated_zones").beginArray();
  for (const std::string& zone : view->evacuated_zones) {
    writer.string(zone);
  }
  writer.endArray().endObject();
  return writer.text();
}

}  // namespace switchsaddle::front
