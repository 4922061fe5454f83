#include "switchsaddle/routing/prefix_affinity.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::routing {

namespace {

/** Homes of a chain considered for one prompt. */
constexpr std::size_t MaximumHomes = 4;
/** Points on the ring examined for each home needed in the prompt's lane. */
constexpr std::size_t RingStepsPerHome = 16;
/** Share of a worker's slots that one chain may fill before it gets another home. */
constexpr double HomeSlotShare = 0.25;
/** Share of a worker's prefill time that one chain may use before it gets another home. */
constexpr double HomePrefillShare = 0.35;

}  // namespace

PrefixAffinity::PrefixAffinity(const RouterContext& context)
    : context_(context), prefix_index_(context.options.prefix_chains) {}

void PrefixAffinity::collect(const ModelPool& pool, const Prompt& prompt,
                             const PrefixChains& chains, CandidateSet& candidates) const {
  if (!chains.empty()) {
    collectRecentWorkers(pool, prompt, chains, candidates);
  }
  if (chains.homeDepth() > 0) {
    collectHomes(pool, prompt, chains, candidates);
  }
}

void PrefixAffinity::recordPlacement(const PrefixChains& chains, WorkerNumber worker) {
  if (chains.homeDepth() > 0) {
    chain_rate_.add(chains.at(chains.homeDepth()), context_.now());
  }
  for (const std::uint64_t chain : chains.all()) {
    prefix_index_.add(chain, worker);
  }
}

void PrefixAffinity::forget(const PrefixChains& chains, WorkerNumber worker) {
  for (const std::uint64_t chain : chains.all()) {
    prefix_index_.forget(chain, worker);
  }
}

void PrefixAffinity::collectRecentWorkers(const ModelPool& pool, const Prompt& prompt,
                                          const PrefixChains& chains,
                                          CandidateSet& candidates) const {
  std::uint32_t cached_tokens = 0;
  for (std::size_t depth = 1; depth <= chains.depth(); ++depth) {
    cached_tokens += prompt.prefix_segments[depth - 1].tokens;
  }
  for (std::size_t depth = chains.depth(); depth > 0; --depth) {
    for (const WorkerNumber worker : prefix_index_.find(chains.at(depth))) {
      for (const ArmPtr& arm : pool.index.armsOf(worker)) {
        candidates.add(*arm, cached_tokens);
      }
    }
    cached_tokens -= prompt.prefix_segments[depth - 1].tokens;
  }
}

void PrefixAffinity::collectHomes(const ModelPool& pool, const Prompt& prompt,
                                  const PrefixChains& chains, CandidateSet& candidates) const {
  const std::uint64_t chain = chains.at(chains.homeDepth());
  const std::size_t needed = homesNeeded(pool, prompt, chain);
  const std::size_t considered = std::min(needed, MaximumHomes);
  if (candidates.lane().size() < pool.arms.size()) {
    collectHomesInLane(pool, chains, considered, candidates);
    return;
  }
  for (std::size_t choice = 0; choice < considered; ++choice) {
    const std::size_t replica = needed <= MaximumHomes ? choice : context_.random.below(needed);
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      candidates.add(*arm, chains.sharedTokens());
    }
  }
  if (context_.options.fleet_loads) {
    collectOverflowHome(pool, chain, needed, candidates);
  }
}

void PrefixAffinity::collectHomesInLane(const ModelPool& pool, const PrefixChains& chains,
                                        std::size_t needed, CandidateSet& candidates) const {
  const std::uint64_t chain = chains.at(chains.homeDepth());
  const std::size_t maximum_steps = needed * RingStepsPerHome;
  std::size_t found = 0;
  for (std::size_t replica = 0; replica < maximum_steps && found < needed; ++replica) {
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      found += candidates.lane().contains(arm->rank) ? 1 : 0;
      candidates.add(*arm, chains.sharedTokens());
    }
  }
  if (context_.options.fleet_loads) {
    collectOverflowHome(pool, chain, needed, candidates);
  }
}

void PrefixAffinity::collectOverflowHome(const ModelPool& pool, std::uint64_t chain,
                                         std::size_t homes, CandidateSet& candidates) const {
  for (std::size_t replica = homes; replica < homes + RingStepsPerHome; ++replica) {
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      if (candidates.add(*arm, 0)) {
        candidates.candidates().back().overflow_home = true;
        return;
      }
    }
  }
}

std::size_t PrefixAffinity::homesNeeded(const ModelPool& pool, const Prompt& prompt,
                                        std::uint64_t chain) const {
  const ArmIndex::Arms home = pool.index.homeOf(chain, 0);
  if (home.empty()) {
    return 0;
  }
  const double measured_s = home.front()->statistics.mean().seconds_per_output_token;
  const double token_s =
      measured_s > 0 ? measured_s : context_.options.unmeasured_prior.seconds_per_output_token;
  const double streams_per_s = fleetRate(chain);
  const double busy_slots = streams_per_s * token_s * prompt.maximum_tokens;
  const double private_tokens =
      prompt.last_segment_private ? static_cast<double>(prompt.prefix_segments.back().tokens) : 0;
  const double prefill_share = streams_per_s * private_tokens * pool.seconds_per_prefill_token;
  const double homes =
      std::ceil(std::max(busy_slots / (HomeSlotShare * home.front()->prefill->slots),
                         prefill_share / HomePrefillShare));
  return static_cast<std::size_t>(std::clamp(homes, 1.0, static_cast<double>(pool.arms.size())));
}

double PrefixAffinity::fleetRate(std::uint64_t chain) const {
  // With fleet loads, prompts that a home cannot take overflow to the next worker. Without them, a
  // home must not be overloaded; the plain estimate gives a chain further homes earlier than the
  // lower bound.
  const base::TimePoint now = context_.now();
  const double own_per_s = context_.options.fleet_loads
                               ? chain_rate_.lowerBoundPerSecond(chain, now)
                               : chain_rate_.perSecond(chain, now);
  return own_per_s * static_cast<double>(context_.fronts);
}

}  // namespace switchsaddle::routing
