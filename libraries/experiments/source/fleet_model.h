#pragma once

#include <memory>
#include <vector>

#include "fleet_recorder.h"
#include "placer.h"

namespace switchsaddle::experiments {

/**
 * A whole fleet as discrete events on one seeded world: fronts that place each by its own policy
 * and state, workers, Poisson arrivals, exchange of scores with a random peer, and workers that
 * crash, return cold and join. Runs once.
 */
class FleetModel {
 public:
  FleetModel(const FleetSettings& settings, std::uint64_t seed);
  std::vector<Measure> run();

 private:
  /** One caller's stream through its tries. */
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
  void startWarmingUp(std::size_t worker);
  /** Brings a worker's present state to each front within the list's delay. */
  void announce(std::size_t worker);
  void learn(std::size_t front, const ListedWorker& worker);
  ListedWorker listed(std::size_t worker) const;

  FleetSettings settings_;
  simulation::World world_;
  FleetRecorder recorder_;
  PromptSource prompts_;
  std::vector<std::unique_ptr<ModelledWorker>> workers_;
  std::vector<std::unique_ptr<Placer>> fronts_;
  /** What each front has learned of the workers. */
  std::vector<std::vector<ListedWorker>> lists_;
};

}  // namespace switchsaddle::experiments
