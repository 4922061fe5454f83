#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/prefix_affinity.h"
#include "switchsaddle/routing/router_context.h"
#include "switchsaddle/routing/scout_policy.h"

namespace switchsaddle::routing {

/**
 * Collects the candidates of a prompt: workers likely to have its prefix cached, one arm to scout,
 * and arms drawn at random up to the candidate limit. Collects only
 * from the prompt's lane unless the lane has no usable arm. Runs on the control strand.
 */
class CandidateCollector {
 public:
  /** All arguments must outlive this object. */
  CandidateCollector(RouterContext& context, const PrefixAffinity& affinity,
                     const ScoutPolicy& scouts)
      : context_(context), affinity_(affinity), scouts_(scouts) {}

  /** @param excluded ids of workers already attempted for the prompt. */
  void collect(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
               const std::vector<std::string>& excluded, CandidateSet& candidates);

 private:
  /** Counts the prompt and returns the ranks of its kind's lane. */
  RankRange laneOf(const ModelPool& pool, const Prompt& prompt);
  /** Recomputes the pool's mean prefill rate at intervals. */
  void refreshRates(ModelPool& pool) const;
  void collectWithinLane(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                         CandidateSet& candidates) const;
  void collectAtRandom(const ModelPool& pool, std::size_t limit, CandidateSet& candidates) const;

  RouterContext& context_;
  const PrefixAffinity& affinity_;
  const ScoutPolicy& scouts_;
};

}  // namespace switchsaddle::routing
