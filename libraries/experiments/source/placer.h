#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modelled_worker.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::experiments {

/** The worker chosen for a prompt, by its place in the fleet. */
struct ModelledPlacement {
  std::size_t worker = 0;
  std::uint64_t ticket = 0;
};

/** A worker as a front's list has it. */
struct ListedWorker {
  std::size_t index = 0;
  std::string id;
  std::string model;
  std::uint64_t instance = 0;
  std::uint32_t slots = 0;
  bool unreachable = false;
};

/** One front's placement policy. Each placement is ended by exactly one complete(). */
class Placer {
 public:
  virtual ~Placer() = default;
  /** The whole list, with all changes this front has learned of. */
  virtual void setWorkers(const std::vector<ListedWorker>& workers) = 0;
  /** Nothing where no worker remains. `excluded` are ids tried before. */
  virtual std::optional<ModelledPlacement> place(const ModelledPrompt& prompt,
                                                 const std::vector<std::string>& excluded) = 0;
  virtual void complete(const ModelledPlacement& placement, const StreamResult& result,
                        std::uint32_t output_tokens) = 0;
  virtual std::vector<wire::RouteScore> exportScores() { return {}; }
  virtual void importScores(const std::vector<wire::RouteScore>&) {}
};

/** What a placer may use of the model it runs in. */
struct PlacerContext {
  const FleetSettings& settings;
  simulation::World& world;
  /** Only the oracle looks at them. */
  const std::vector<std::unique_ptr<ModelledWorker>>& workers;
  std::size_t front = 0;
};

/** Makes the policy named in the settings; throws base::Error with InvalidValue where there is
 * none. */
std::unique_ptr<Placer> makePlacer(const PlacerContext& context);
/** The policies of the router under test; nothing where the name is a baseline's. */
std::unique_ptr<Placer> makeLearnedPlacer(const PlacerContext& context);

}  // namespace switchsaddle::experiments
