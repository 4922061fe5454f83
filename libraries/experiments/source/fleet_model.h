#pragma once

#include <memory>
#include <vector>

#include "fleet_recorder.h"
#include "placer.h"

namespace switchsaddle::experiments {

/**
 * A discrete-event model of a complete fleet in one seeded world: fronts, each with its own
 * placement policy and state, workers, Poisson arrivals, exchange of scores with a random peer, and
 * workers that crash, restart with empty caches and join. Runs once.
 */
class FleetModel {
 public:
  FleetModel(const FleetSettings& settings, std::uint64_t seed);
  std::vector<Measure> run();

 private:
  /** One caller's stream with all its attempts. */
  struct Call {
    ModelledPrompt prompt;
    std::size_t front = 0;
    base::TimePoint arrived{};
    std::vector<std::string> excluded;
  };
  using CallPtr = std::shared_ptr<Call>;

  void scheduleChurn();
  void scheduleArrival();
  void scheduleGossip(std::size_t front);
  void gossip(std::size_t front);
  void place(const CallPtr& call);
  void onDone(const CallPtr& call, const ModelledPlacement& placement, const StreamResult& result);
  void crash(std::size_t worker);
  void startWorker(std::size_t worker);
  /** Reports a worker's current state to each front after a random part of the list's delay. */
  void announce(std::size_t worker);
  void updateList(std::size_t front, const ListedWorker& worker);
  ListedWorker listed(std::size_t worker) const;

  FleetSettings settings_;
  simulation::World world_;
  FleetRecorder recorder_;
  PromptSource prompts_;
  std::vector<std::unique_ptr<ModelledWorker>> workers_;
  std::vector<std::unique_ptr<Placer>> fronts_;
  /** Each front's view of the workers. */
  std::vector<std::vector<ListedWorker>> lists_;
};

}  // namespace switchsaddle::experiments
