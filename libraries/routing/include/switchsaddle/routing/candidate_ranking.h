#pragma once

#include <vector>

#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/placement_estimator.h"
#include "switchsaddle/routing/router_context.h"
#include "switchsaddle/routing/scout_policy.h"

namespace switchsaddle::routing {

/**
 * Ranks the candidates of a prompt and drops those that must not be drawn from. Ranks by expected
 * cost if the option `fleet_loads` is set, otherwise by the estimated time to the first token.
 * Runs on the control strand.
 */
class CandidateRanking {
 public:
  /** All arguments must outlive this object. */
  CandidateRanking(const RouterContext& context, const PlacementEstimator& estimator,
                   const ScoutPolicy& scouts)
      : context_(context), estimator_(estimator), scouts_(scouts) {}

  /** Sorts the candidates, best first, and cuts them to the configured number. */
  void rank(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
            std::vector<Candidate>& candidates) const;
  /** Drops candidates that slow start does not admit, then those much worse than the best. May
   * remove all candidates. */
  void filter(std::vector<Candidate>& candidates) const;

 private:
  void rankByLatency(const ModelPool& pool, const Prompt& prompt,
                     std::vector<Candidate>& candidates) const;
  void rankByCost(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                  std::vector<Candidate>& candidates) const;
  void dropNotAdmitted(std::vector<Candidate>& candidates) const;
  void dropSlower(std::vector<Candidate>& candidates) const;
  void dropCostlier(std::vector<Candidate>& candidates) const;
  /** Whether the arm has enough sample mass for its estimates to be used. */
  bool isMeasured(const Candidate& candidate) const;

  const RouterContext& context_;
  const PlacementEstimator& estimator_;
  const ScoutPolicy& scouts_;
};

}  // namespace switchsaddle::routing
