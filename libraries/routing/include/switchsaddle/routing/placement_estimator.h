#pragma once

#include <cstdint>

#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/prefix_chains.h"
#include "switchsaddle/routing/router_context.h"

namespace switchsaddle::routing {

/** Estimates the latency and the cost of placing a prompt on an arm. Runs on the control strand. */
class PlacementEstimator {
 public:
  /** @param context must outlive this object. */
  explicit PlacementEstimator(const RouterContext& context) : context_(context) {}

  /** Sets the candidate's time to the first token from this front's own measurements. */
  void estimateLatency(const ModelPool& pool, const Prompt& prompt, Candidate& candidate) const;
  /** Sets the candidate's time to the first token and cost from the load of all fronts. */
  void estimateCost(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                    Candidate& candidate) const;
  /** Prefill backlog of the worker over all fronts, in seconds. */
  double queueSeconds(const Arm& arm) const;
  /** Seconds that the arm needs to prefill this many tokens. */
  double prefillSeconds(const ModelPool& pool, const Arm& arm, std::uint32_t tokens) const;

 private:
  /** Requests in flight on the arm's prefill worker over all fronts. */
  double requestsInFlight(const Arm& arm) const;
  /** Seconds until one of the worker's slots is free. */
  double slotWaitSeconds(const Arm& arm, const Prompt& prompt) const;

  const RouterContext& context_;
};

}  // namespace switchsaddle::routing
