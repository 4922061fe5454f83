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
 * Finds workers that are likely to have a prompt's prefix in their cache: those this front sent its
 * chains to, and the chain's home workers by consistent hashing, on which all fronts agree without
 * communicating. Runs on the control strand.
 */
class PrefixAffinity {
 public:
  /** @param context must outlive this object. */
  explicit PrefixAffinity(const RouterContext& context);

  /** Adds the owners and homes of the prompt's chains to the candidates. */
  void collect(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
               CandidateSet& candidates) const;
  /** Records that a prompt with these chains was sent to the worker. */
  void recordPlacement(const PrefixChains& chains, WorkerNumber worker);
  /** Records that the worker may have lost these chains. */
  void forget(const PrefixChains& chains, WorkerNumber worker);

 private:
  void collectOwners(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                     CandidateSet& candidates) const;
  void collectHomes(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                    CandidateSet& candidates) const;
  void collectHomesInLane(const ModelPool& pool, const PrefixChains& chains, std::size_t needed,
                          CandidateSet& candidates) const;
  /** Adds the worker that receives what the homes cannot take; the same on all fronts. */
  void collectOverflowHome(const ModelPool& pool, std::uint64_t chain, std::size_t homes,
                           CandidateSet& candidates) const;
  /** Number of home workers that the chain's prompts of all fronts need. */
  std::size_t homesNeeded(const ModelPool& pool, const Prompt& prompt, std::uint64_t chain) const;
  /** Estimated prompts of the chain per second over all fronts. */
  double fleetRate(std::uint64_t chain) const;

  const RouterContext& context_;
  PrefixIndex prefix_index_;
  ChainRate chain_rate_;
};

}  // namespace switchsaddle::routing
