#include "switchsaddle/front/forward_placer.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::front {

namespace {

/** What the cores said of workers holds for so long without their word. */
constexpr base::Duration AvoidedLifetime = std::chrono::seconds(3);

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

ForwardPlacer::ForwardPlacer(base::Dispatcher& dispatcher, base::RandomSource& random,
                             routing::Router& router, WorkerCircuit& circuit, FleetBeliefs& beliefs,
                             base::NodeAddress self)
    : dispatcher_(dispatcher),
      random_(random),
      router_(router),
      circuit_(circuit),
      beliefs_(beliefs),
      self_(std::move(self)) {}

void ForwardPlacer::setFronts(const std::vector<base::NodeAddress>& fronts) {
  cold_guard_.setFronts(self_, fronts);
}

std::optional<ForwardPlacement> ForwardPlacer::choose(const configuration::ForwardPool& pool,
                                                      const routing::Prompt& prompt,
                                                      const std::vector<std::string>& tried) {
  const bool model_served = contains(pool.models, prompt.model);
  return model_served ? chooseLearned(pool, prompt, tried) : chooseLeastLoaded(pool, tried);
}

std::optional<ForwardPlacement> ForwardPlacer::chooseLearned(
    const configuration::ForwardPool& pool, const routing::Prompt& prompt,
    const std::vector<std::string>& tried) {
  configuration::Route route;
  route.pool = pool.name;
  std::vector<std::string> excluded = circuit_.openWorkers();
  excluded.insert(excluded.end(), tried.begin(), tried.end());
  const std::vector<std::string> avoided = avoidedWorkers(pool);
  excluded.insert(excluded.end(), avoided.begin(), avoided.end());
  std::optional<routing::Placement> placement = router_.choose(prompt, route, excluded);
  if (!placement) {
    // A worker behind an open circuit, or one that fails at times, is better than none.
    placement = router_.choose(prompt, route, tried);
  }
  if (!placement) {
    return std::nullopt;
  }
  ForwardPlacement chosen;
  chosen.worker = placement->prefill;
  chosen.learned = std::move(placement);
  return chosen;
}

void ForwardPlacer::setAvoided(const std::vector<std::uint64_t>& workers) {
  avoided_ = {workers.begin(), workers.end()};
  avoided_until_ = dispatcher_.now() + AvoidedLifetime;
}

bool ForwardPlacer::isAvoided(const wire::WorkerEntry& entry) const {
  return !avoided_.empty() && dispatcher_.now() < avoided_until_ &&
         avoided_.contains(worker_health::workerKey(entry));
}

std::vector<std::string> ForwardPlacer::avoidedWorkers(
    const configuration::ForwardPool& pool) const {
  std::vector<std::string> workers;
  if (avoided_.empty()) {
    return workers;
  }
  for (const auto& [id, worker] : beliefs_.workers()->workers) {
    if (worker.entry.service == pool.name && isAvoided(worker.entry)) {
      workers.push_back(id);
    }
  }
  return workers;
}

bool ForwardPlacer::mayUse(const workers::Worker& worker, const configuration::ForwardPool& pool) {
  Usage& usage = usage_[worker.entry.id];
  usage.cold.instance = base::hashBytes(worker.entry.id);
  usage.cold.bearable_per_s = pool.cold_ms > 0 ? pool.cold_per_s : 0;
  usage.cold.listed_cold = worker.entry.cold;
  usage.cold.present_at_start = true;
  return cold_guard_.mayPlace(usage.cold, std::max(1U, worker.entry.slots), dispatcher_.now());
}

void ForwardPlacer::forgetVanished(const workers::WorkerSnapshot& snapshot) {
  if (snapshot.revision == known_revision_) {
    return;
  }
  known_revision_ = snapshot.revision;
  std::erase_if(usage_, [&snapshot](const auto& item) {
    return item.second.in_flight == 0 && !snapshot.workers.contains(item.first);
  });
}

std::optional<ForwardPlacement> ForwardPlacer::chooseLeastLoaded(
    const configuration::ForwardPool& pool, const std::vector<std::string>& tried) {
  const workers::WorkerSnapshotPtr snapshot = beliefs_.workers();
  forgetVanished(*snapshot);
  const std::shared_ptr<const configuration::View> view = beliefs_.configuration();
  const workers::Worker* best = nullptr;
  std::pair<bool, std::uint32_t> best_rank;
  std::uint64_t ties = 0;
  for (const auto& [id, worker] : snapshot->workers) {
    const bool eligible = worker.entry.service == pool.name && worker.usable() &&
                          view->allowsWorker(worker.entry) && !contains(tried, id) &&
                          mayUse(worker, pool);
    if (!eligible) {
      continue;
    }
    const bool last_choice = !circuit_.mayTry(worker) || isAvoided(worker.entry);
    const std::pair rank{last_choice, usage_[id].in_flight};
    const bool better = best == nullptr || rank < best_rank;
    const bool tie = !better && rank == best_rank;
    ties = better ? 1 : ties + (tie ? 1 : 0);
    // Each of several equal workers is taken with the same chance.
    if (better || (tie && random_.below(ties) == 0)) {
      best = &worker;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Usage& usage = usage_[best->entry.id];
  ++usage.in_flight;
  usage.cold.placed = true;
  usage.cold.last_placed = dispatcher_.now();
  return ForwardPlacement{*best, std::nullopt};
}

void ForwardPlacer::complete(const ForwardPlacement& placement, routing::Completion completion) {
  if (placement.learned) {
    completion.ticket = placement.learned->ticket;
    router_.complete(completion);
    return;
  }
  const auto usage = usage_.find(placement.worker.entry.id);
  if (usage != usage_.end() && usage->second.in_flight > 0) {
    --usage->second.in_flight;
  }
}

}  // namespace switchsaddle::front
