#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modelled_worker.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::experiments {

/** The worker chosen for a prompt, as its index in the fleet. */
struct ModelledPlacement {
  std::size_t worker = 0;
  std::uint64_t ticket = 0;
};

/** A worker's entry in a front's list. */
struct ListedWorker {
  std::size_t index = 0;
  std::string id;
  std::string model;
  std::uint64_t instance = 0;
  std::uint32_t slots = 0;
  bool unreachable = false;
};

/** One front's placement policy. Each placement requires exactly one complete(). */
class Placer {
 public:
  virtual ~Placer() = default;
  /** Sets the complete worker list in this front's view. */
  virtual void setWorkers(const std::vector<ListedWorker>& workers) = 0;
  /** @param excluded ids of the workers of earlier attempts.
   * @return std::nullopt if no worker remains. */
  virtual std::optional<ModelledPlacement> place(const ModelledPrompt& prompt,
                                                 const std::vector<std::string>& excluded) = 0;
  virtual void complete(const ModelledPlacement& placement, const StreamResult& result,
                        std::uint32_t output_tokens) = 0;
  virtual std::vector<wire::RouteScore> exportScores() { return {}; }
  virtual void importScores(const std::vector<wire::RouteScore>&) {}
};

/** The parts of the model that a placer may use. */
struct PlacerContext {
  const FleetSettings& settings;
  simulation::World& world;
  /** Only the oracle reads them. */
  const std::vector<std::unique_ptr<ModelledWorker>>& workers;
  std::size_t front = 0;
};

/** Creates the policy named in the settings. Throws base::Error with InvalidValue if the name is
 * unknown. */
std::unique_ptr<Placer> makePlacer(const PlacerContext& context);
/** Creates a policy of the router under test, or returns nullptr if the name is not one of them. */
std::unique_ptr<Placer> makeLearnedPlacer(const PlacerContext& context);

}  // namespace switchsaddle::experiments
