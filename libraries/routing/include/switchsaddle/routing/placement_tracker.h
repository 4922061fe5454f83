#pragma once

#include <cstdint>
#include <unordered_map>

#include "switchsaddle/routing/placement_estimator.h"
#include "switchsaddle/routing/pool_registry.h"
#include "switchsaddle/routing/prefix_affinity.h"
#include "switchsaddle/routing/prefix_chains.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/routing/router_context.h"

namespace switchsaddle::routing {

/**
 * Follows placements from dispatch to completion: counts requests in flight, tracks the prefill
 * backlog, and updates the scores, slow start and prefix affinity of arms from the measurements.
 * Invariant: each placement is counted at its workers until complete(). Runs on the control strand.
 */
class PlacementTracker {
 public:
  /** All arguments must outlive this object. */
  PlacementTracker(RouterContext& context, PoolRegistry& registry, PrefixAffinity& affinity,
                   const PlacementEstimator& estimator)
      : context_(context), registry_(registry), affinity_(affinity), estimator_(estimator) {}

  /** Records a new placement of the prompt on the arm. */
  void begin(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
             const Placement& placement, Arm& arm);
  /** Records the first token of a placement; unknown tickets are ignored. */
  void onFirstToken(std::uint64_t ticket);
  /** Ends a placement; unknown tickets are ignored. */
  void complete(const Completion& completion);

 private:
  /** A placement that has not been completed. */
  struct InFlight {
    ArmPtr arm;
    /** Pools are never removed. */
    ModelPool* pool = nullptr;
    PrefixChains chains;
    base::TimePoint placed_at{};
    std::uint32_t uncached_tokens = 0;
    /** Estimates made at placement: the prefill backlog before it, and its own prefill. */
    double queue_s = 0;
    double prefill_s = 0;
    bool answered = false;
  };

  void recordRequest(WorkerRecord& worker);
  void recordAnswer(InFlight& in_flight);
  /** Ends the placement's requests at its workers and applies the reported load. */
  void releaseWorkers(Arm& arm, const Completion& completion);
  void recordReportedLoad(WorkerRecord& worker, const Completion& completion);
  void recordFailure(const InFlight& in_flight);
  void recordSuccess(const InFlight& in_flight, const Completion& completion);

  RouterContext& context_;
  PoolRegistry& registry_;
  PrefixAffinity& affinity_;
  const PlacementEstimator& estimator_;
  /** By ticket. */
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
};

}  // namespace switchsaddle::routing
