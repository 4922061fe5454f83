#include "switchsaddle/routing/candidate_collector.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** How long a pool's mean prefill rate is used. */
constexpr base::Duration RatesLifetime = std::chrono::seconds(1);

}  // namespace

void CandidateCollector::collect(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                                 const std::vector<std::string>& excluded,
                                 CandidateSet& candidates) {
  const RankRange whole_pool{0, pool.arms.size()};
  const RankRange lane = laneOf(pool, prompt);
  refreshRates(pool);
  candidates.reset(excluded, lane);
  collectWithinLane(pool, prompt, chains, candidates);
  if (candidates.empty() && lane.size() < whole_pool.size()) {
    candidates.reset(excluded, whole_pool);
    collectWithinLane(pool, prompt, chains, candidates);
  }
}

RankRange CandidateCollector::laneOf(const ModelPool& pool, const Prompt& prompt) {
  const std::size_t size = pool.arms.size();
  if (!context_.options.work_lanes || prompt.kind == 0) {
    return {0, size};
  }
  context_.lanes.add(prompt.kind, prompt.prompt_tokens, context_.now());
  const std::size_t short_workers = context_.lanes.shortWorkers(size);
  if (short_workers == size) {
    return {0, size};
  }
  return context_.lanes.isLong(prompt.kind) ? RankRange{short_workers, size}
                                            : RankRange{0, short_workers};
}

void CandidateCollector::refreshRates(ModelPool& pool) const {
  const base::TimePoint now = context_.now();
  if (!context_.options.work_lanes || now - pool.rates_refreshed_at < RatesLifetime) {
    return;
  }
  pool.rates_refreshed_at = now;
  double sum = 0;
  double measured = 0;
  for (const ArmPtr& arm : pool.arms) {
    const double rate = arm->statistics.mean().seconds_per_prefill_token;
    sum += rate;
    measured += rate > 0 ? 1 : 0;
  }
  pool.seconds_per_prefill_token = measured > 0 ? sum / measured : 0;
}

void CandidateCollector::collectWithinLane(ModelPool& pool, const Prompt& prompt,
                                           const PrefixChains& chains,
                                           CandidateSet& candidates) const {
  const std::size_t limit = std::max(1U, context_.tuning.route_candidates);
  if (context_.options.prefix_affinity) {
    affinity_.collect(pool, prompt, chains, candidates);
  }
  if (pool.arms.size() > limit) {
    if (Arm* scout = scouts_.nextScout(pool, candidates)) {
      candidates.add(*scout, 0);
    }
  }
  collectAtRandom(pool, limit, candidates);
}

void CandidateCollector::collectAtRandom(const ModelPool& pool, std::size_t limit,
                                         CandidateSet& candidates) const {
  const std::size_t size = pool.arms.size();
  if (size <= limit) {
    for (const ArmPtr& arm : pool.arms) {
      candidates.add(*arm, 0);
    }
    return;
  }
  const std::size_t lane_size = std::max<std::size_t>(1, candidates.lane().size());
  const std::size_t draws = 2 * limit * (size / lane_size);
  for (std::size_t draw = 0; draw < draws && candidates.size() < limit; ++draw) {
    candidates.add(*pool.arms[context_.random.below(size)], 0);
  }
  // With most arms excluded the sample may have missed the few that remain.
  for (std::size_t index = 0; candidates.empty() && index < size; ++index) {
    candidates.add(*pool.arms[index], 0);
  }
}

}  // namespace switchsaddle::routing
