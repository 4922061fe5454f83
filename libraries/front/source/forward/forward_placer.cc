#include "switchsaddle/front/forward/forward_placer.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::front {

namespace {

/** The cores' list of ejected workers expires after this time without an update. */
constexpr base::Duration EjectedLifetime = std::chrono::seconds(3);

/** Minimum of the free slots assumed for a worker, so that its weight is above zero. */
constexpr double MinimumFreeSlots = 0.25;

/** A connection that has been idle for less than this is expected to be reused. Shorter than the
 * idle time that the port accepts for requests that are not idempotent. */
constexpr base::Duration IdleConnectionLifetime = std::chrono::milliseconds(1'800);
/** Factor by which an idle connection increases the weight of a worker. */
constexpr double IdleConnectionFactor = 6;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

ForwardPlacer::ForwardPlacer(base::Dispatcher& dispatcher, base::RandomSource& random,
                             routing::Router& router, WorkerCircuit& circuit, FleetView& fleet_view,
                             base::NodeAddress self)
    : dispatcher_(dispatcher),
      random_(random),
      router_(router),
      circuit_(circuit),
      fleet_view_(fleet_view),
      self_(std::move(self)) {}

void ForwardPlacer::setFronts(const std::vector<base::NodeAddress>& fronts) {
  slow_start_limiter_.setFronts(self_, fronts);
}

std::optional<ForwardPlacement> ForwardPlacer::choose(const configuration::ForwardPool& pool,
                                                      const routing::Prompt& prompt,
                                                      const std::vector<std::string>& excluded) {
  const bool model_served = contains(pool.models, prompt.model);
  return model_served ? chooseLearned(pool, prompt, excluded) : chooseLeastLoaded(pool, excluded);
}

std::optional<ForwardPlacement> ForwardPlacer::chooseLearned(
    const configuration::ForwardPool& pool, const routing::Prompt& prompt,
    const std::vector<std::string>& excluded) {
  configuration::Route route;
  route.pool = pool.name;
  std::vector<std::string> not_preferred = circuit_.openWorkers();
  not_preferred.insert(not_preferred.end(), excluded.begin(), excluded.end());
  const std::vector<std::string> ejected = ejectedWorkers(pool);
  not_preferred.insert(not_preferred.end(), ejected.begin(), ejected.end());
  std::optional<routing::Placement> placement = router_.choose(prompt, route, not_preferred);
  if (!placement) {
    // No preferred worker is available: accept those with an open circuit and those ejected.
    placement = router_.choose(prompt, route, excluded);
  }
  if (!placement) {
    return std::nullopt;
  }
  ForwardPlacement chosen;
  chosen.worker = placement->prefill;
  chosen.learned = std::move(placement);
  return chosen;
}

void ForwardPlacer::setEjected(const std::vector<std::uint64_t>& workers) {
  ejected_ = {workers.begin(), workers.end()};
  ejected_until_ = dispatcher_.now() + EjectedLifetime;
}

bool ForwardPlacer::isEjected(const wire::WorkerEntry& entry) const {
  return !ejected_.empty() && dispatcher_.now() < ejected_until_ &&
         ejected_.contains(worker_health::workerKey(entry));
}

std::vector<std::string> ForwardPlacer::ejectedWorkers(
    const configuration::ForwardPool& pool) const {
  std::vector<std::string> workers;
  if (ejected_.empty()) {
    return workers;
  }
  for (const auto& [id, worker] : fleet_view_.workers()->workers) {
    if (worker.entry.service == pool.name && isEjected(worker.entry)) {
      workers.push_back(id);
    }
  }
  return workers;
}

bool ForwardPlacer::mayUse(const workers::Worker& worker, const configuration::ForwardPool& pool) {
  Usage& usage = usage_[worker.entry.id];
  usage.load_key = workers::loadKey(worker.entry);
  usage.slow_start.instance = base::hashBytes(worker.entry.id);
  usage.slow_start.rate_limit_per_s = pool.slow_start_ms > 0 ? pool.slow_start_per_s : 0;
  usage.slow_start.listed_warming_up = worker.entry.warming_up;
  usage.slow_start.present_at_start = true;
  return slow_start_limiter_.mayPlace(usage.slow_start, std::max(1U, worker.entry.slots),
                                      dispatcher_.now());
}

void ForwardPlacer::removeUnlisted(const workers::WorkerSnapshot& snapshot) {
  if (snapshot.revision == known_revision_) {
    return;
  }
  known_revision_ = snapshot.revision;
  std::erase_if(usage_, [&snapshot](const auto& item) {
    return item.second.in_flight == 0 && !snapshot.workers.contains(item.first);
  });
}

double ForwardPlacer::weightOf(const Eligible& eligible, double least_load,
                               bool fleet_known) const {
  if (!fleet_known) {
    return eligible.load <= least_load ? 1.0 : 0.0;
  }
  const double slots = std::max(1U, eligible.worker->entry.slots);
  const double free = std::max(MinimumFreeSlots, slots - eligible.load);
  return free * free * (eligible.has_idle_connection ? IdleConnectionFactor : 1);
}

std::vector<ForwardPlacer::Eligible> ForwardPlacer::eligibleWorkers(
    const configuration::ForwardPool& pool, const workers::WorkerSnapshot& snapshot,
    const std::vector<std::string>& excluded) {
  const std::shared_ptr<const configuration::View> view = fleet_view_.configuration();
  std::vector<Eligible> preferred;
  std::vector<Eligible> fallback;
  for (const auto& [id, worker] : snapshot.workers) {
    const bool eligible = worker.entry.service == pool.name && worker.usable() &&
                          view->allowsWorker(worker.entry) && !contains(excluded, id) &&
                          mayUse(worker, pool);
    if (!eligible) {
      continue;
    }
    const Usage& usage = usage_[id];
    const double peer_requests = peer_load_.of(usage.load_key, dispatcher_.now()).requests;
    const bool last_resort = !circuit_.mayAttempt(worker) || isEjected(worker.entry);
    const bool has_idle_connection = usage.in_flight == 0 && usage.last_ended &&
                                     dispatcher_.now() - *usage.last_ended < IdleConnectionLifetime;
    (last_resort ? fallback : preferred)
        .push_back({&worker, usage.in_flight + peer_requests, has_idle_connection});
  }
  return preferred.empty() ? fallback : preferred;
}

std::optional<ForwardPlacement> ForwardPlacer::chooseLeastLoaded(
    const configuration::ForwardPool& pool, const std::vector<std::string>& excluded) {
  const workers::WorkerSnapshotPtr snapshot = fleet_view_.workers();
  removeUnlisted(*snapshot);
  const std::vector<Eligible> eligible = eligibleWorkers(pool, *snapshot, excluded);
  if (eligible.empty()) {
    return std::nullopt;
  }
  const workers::Worker& chosen = draw(eligible);
  Usage& usage = usage_[chosen.entry.id];
  ++usage.in_flight;
  usage.slow_start.placed = true;
  usage.slow_start.last_placed = dispatcher_.now();
  return ForwardPlacement{chosen, std::nullopt};
}

const workers::Worker& ForwardPlacer::draw(const std::vector<Eligible>& eligible) {
  const bool fleet_known = peer_load_.known(dispatcher_.now());
  const double least_load = std::ranges::min(eligible, {}, &Eligible::load).load;
  double total_weight = 0;
  for (const Eligible& candidate : eligible) {
    total_weight += weightOf(candidate, least_load, fleet_known);
  }
  double remaining = random_.uniform() * total_weight;
  const workers::Worker* chosen = eligible.front().worker;
  for (const Eligible& candidate : eligible) {
    const double weight = weightOf(candidate, least_load, fleet_known);
    if (weight <= 0) {
      continue;
    }
    chosen = candidate.worker;
    remaining -= weight;
    if (remaining < 0) {
      break;
    }
  }
  return *chosen;
}

void ForwardPlacer::onFirstToken(const ForwardPlacement& placement) {
  if (placement.learned) {
    router_.recordFirstToken(placement.learned->ticket);
  }
}

wire::FrontLoad ForwardPlacer::load() const {
  wire::FrontLoad load = router_.exportLoads();
  for (const auto& [id, usage] : usage_) {
    if (usage.in_flight > 0) {
      load.workers.push_back({usage.load_key, static_cast<std::uint16_t>(usage.in_flight), 0});
    }
  }
  return load;
}

void ForwardPlacer::setPeerLoads(const wire::FleetLoad& loads) {
  peer_load_.set(loads, dispatcher_.now());
  router_.importLoads(loads);
}

void ForwardPlacer::complete(const ForwardPlacement& placement, routing::Completion completion,
                             ConnectionEnd connection) {
  if (placement.learned) {
    completion.ticket = placement.learned->ticket;
    router_.complete(completion);
    return;
  }
  const auto usage = usage_.find(placement.worker.entry.id);
  if (usage != usage_.end() && usage->second.in_flight > 0) {
    --usage->second.in_flight;
    usage->second.last_ended.reset();
    if (connection == ConnectionEnd::KeptIdle) {
      usage->second.last_ended = dispatcher_.now();
    }
  }
}

}  // namespace switchsaddle::front
