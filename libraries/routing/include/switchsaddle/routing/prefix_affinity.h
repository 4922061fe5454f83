#pragma once

#include <cstddef>
#include <cstdint>

#include "switchsaddle/routing/candidate_set.h"
#include "switchsaddle/routing/chain_rate.h"
#include "switchsaddle/routing/prefix_chains.h"
#include "switchsaddle/routing/prefix_index.h"
#include "switchsaddle/routing/router_context.h"

namespace switchsaddle::routing {

/**
 * Finds workers that are likely to have a prompt's prefix in their cache: the workers to which this
 * front last sent the prompt's chains, and the home workers of a chain. All fronts compute the same
 * homes by consistent hashing, without communication. Runs on the control strand.
 */
class PrefixAffinity {
 public:
  /** @param context must outlive this object. */
  explicit PrefixAffinity(const RouterContext& context);

  /** Adds the recent workers and the homes of the prompt's chains to the candidates. */
  void collect(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
               CandidateSet& candidates) const;
  /** Records that a prompt with these chains was sent to the worker. */
  void recordPlacement(const PrefixChains& chains, WorkerNumber worker);
  /** Records that the worker may have lost these chains. */
  void forget(const PrefixChains& chains, WorkerNumber worker);

 private:
  void collectRecentWorkers(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                            CandidateSet& candidates) const;
  void collectHomes(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                    CandidateSet& candidates) const;
  void collectHomesInLane(const ModelPool& pool, const PrefixChains& chains, std::size_t needed,
                          CandidateSet& candidates) const;
  /** Adds the worker that takes the prompts beyond the homes' capacity; the same on all fronts.
   */
  void collectOverflowHome(const ModelPool& pool, std::uint64_t chain, std::size_t homes,
                           CandidateSet& candidates) const;
  /** Number of home workers needed for the chain's prompts from all fronts. */
  std::size_t homesNeeded(const ModelPool& pool, const Prompt& prompt, std::uint64_t chain) const;
  /** Estimated prompts of the chain per second over all fronts. */
  double fleetRate(std::uint64_t chain) const;

  const RouterContext& context_;
  PrefixIndex prefix_index_;
  ChainRate chain_rate_;
};

}  // namespace switchsaddle::routing
