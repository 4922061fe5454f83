#include "placer.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "switchsaddle/base/error.h"

namespace switchsaddle::experiments {

namespace {

bool contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Base class of the baselines: the worker list and this front's requests in flight. */
class ListPlacer : public Placer {
 public:
  void setWorkers(const std::vector<ListedWorker>& workers) override {
    for (const ListedWorker& worker : workers) {
      states_.resize(std::max(states_.size(), worker.index + 1));
      WorkerEstimate& state = states_[worker.index];
      if (state.instance != worker.instance) {
        state = WorkerEstimate{};
        state.instance = worker.instance;
      }
    }
    workers_ = workers;
  }

  std::optional<ModelledPlacement> place(const ModelledPrompt& prompt,
                                         const std::vector<std::string>& excluded) override {
    const ListedWorker* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    for (const ListedWorker& worker : workers_) {
      if (worker.unreachable || worker.model != prompt.prompt.model ||
          contains(excluded, worker.id)) {
        continue;
      }
      const double cost = costOf(worker, prompt);
      if (cost < best_cost) {
        best = &worker;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    WorkerEstimate& state = states_[best->index];
    ++state.in_flight;
    state.last_placed = ++placements_;
    return ModelledPlacement{best->index, state.instance};
  }

  void complete(const ModelledPlacement& placement, const StreamResult& result,
                std::uint32_t) override {
    WorkerEstimate& state = states_[placement.worker];
    if (state.instance != placement.ticket) {
      return;
    }
    --state.in_flight;
    const std::uint32_t reported = result.running + result.queued;
    state.peers = reported > state.in_flight + 1 ? reported - state.in_flight - 1 : 0;
  }

 protected:
  struct WorkerEstimate {
    std::uint64_t instance = 0;
    std::uint32_t in_flight = 0;
    /** Load of other fronts: the last reported load less this front's requests in flight. */
    std::uint32_t peers = 0;
    std::uint64_t last_placed = 0;
  };

  /** The worker with the lowest cost is chosen. */
  virtual double costOf(const ListedWorker& worker, const ModelledPrompt& prompt) = 0;

  std::vector<ListedWorker> workers_;
  std::vector<WorkerEstimate> states_;
  std::uint64_t placements_ = 0;
};

class RoundRobinPlacer : public ListPlacer {
 protected:
  double costOf(const ListedWorker& worker, const ModelledPrompt&) override {
    return static_cast<double>(states_[worker.index].last_placed);
  }
};

class LeastLoadedPlacer : public ListPlacer {
 public:
  explicit LeastLoadedPlacer(std::uint64_t seed) : random_(seed) {}

 protected:
  double costOf(const ListedWorker& worker, const ModelledPrompt&) override {
    const WorkerEstimate& state = states_[worker.index];
    // Breaks ties at random, since otherwise all fronts would choose the same worker.
    return state.in_flight + state.peers + 0.5 * random_.uniform();
  }

 private:
  base::RandomSource random_;
};

/** Reads every worker's actual cache and queue; chooses the shortest time to the first token. */
class OraclePlacer : public ListPlacer {
 public:
  explicit OraclePlacer(const std::vector<std::unique_ptr<ModelledWorker>>& workers)
      : fleet_(workers) {}

 protected:
  double costOf(const ListedWorker& worker, const ModelledPrompt& prompt) override {
    constexpr double TieBreakSeconds = 1e-5;
    const ModelledWorker& modelled = *fleet_[worker.index];
    if (!modelled.up()) {
      return std::numeric_limits<double>::max();
    }
    return modelled.estimateFirstToken(prompt) + TieBreakSeconds * modelled.running();
  }

 private:
  const std::vector<std::unique_ptr<ModelledWorker>>& fleet_;
};

}  // namespace

std::unique_ptr<Placer> makePlacer(const PlacerContext& context) {
  const std::string& policy = context.settings.policy;
  if (policy == "round-robin") {
    return std::make_unique<RoundRobinPlacer>();
  }
  if (policy == "least-loaded") {
    return std::make_unique<LeastLoadedPlacer>(context.world.random().next());
  }
  if (policy == "oracle") {
    return std::make_unique<OraclePlacer>(context.workers);
  }
  std::unique_ptr<Placer> learned = makeLearnedPlacer(context);
  if (learned == nullptr) {
    throw base::Error(base::ResultCode::InvalidValue, "unknown policy: " + policy);
  }
  return learned;
}

}  // namespace switchsaddle::experiments
