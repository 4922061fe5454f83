#include <algorithm>
#include <cmath>
#include <functional>

#include "switchsaddle/routing/learned_router.h"

namespace switchsaddle::routing {

namespace {

/** Homes of a chain considered for one prompt. */
constexpr std::size_t HomeChoices = 4;
/** Replicas of a chain looked at for each home wanted in its lane. */
constexpr std::size_t HomeSearch = 16;
/** Share of a worker's slots that one chain may fill before it gets a further home. */
constexpr double HomeSlotShare = 0.25;
/** Arms kept in the list of those to scout first, and how long it is used. */
constexpr std::size_t ScoutChoices = 8;
constexpr base::Duration ScoutListLifetime = std::chrono::milliseconds(250);
/** Candidates this much slower to the first token than the best are not drawn from. */
constexpr double FarFactor = 1.25;
constexpr double FarSeconds = 0.010;
/** The same within a lane: a shared part read again costs more than this. */
constexpr double FarSecondsInLane = 0.004;
/** How long a pool's mean rates are used. */
constexpr base::Duration RatesLifetime = std::chrono::seconds(1);
/** Part of a worker's time that the prompts of one chain may take before it gets a further home. */
constexpr double HomePrefillShare = 0.35;

/** Scouts of one arm by all fronts together come no closer than this. */
constexpr base::Duration ScoutSpacing = std::chrono::milliseconds(250);

}  // namespace

bool LearnedRouter::isExcluded(const Arm& arm) const {
  for (const std::string& id : *excluded_) {
    const bool is_prefill = arm.prefill->worker.entry.id == id;
    const bool is_decode = arm.decode && arm.decode->worker.entry.id == id;
    if (is_prefill || is_decode) {
      return true;
    }
  }
  return false;
}

void LearnedRouter::consider(Arm& arm, std::uint32_t cached_tokens) {
  for (Candidate& known : candidates_) {
    if (known.arm == &arm) {
      known.cached_tokens = std::max(known.cached_tokens, cached_tokens);
      return;
    }
  }
  if (isInLane(arm) && arm.usable() && !isExcluded(arm)) {
    candidates_.push_back(Candidate{&arm, cached_tokens});
  }
}

void LearnedRouter::collectCandidates(ModelPool& pool, const Prompt& prompt,
                                      const PrefixChains& chains,
                                      const std::vector<std::string>& excluded) {
  excluded_ = &excluded;
  chooseLane(pool, prompt);
  refreshRates(pool);
  gatherCandidates(pool, prompt, chains);
  const bool whole_pool = first_rank_ == 0 && end_rank_ == pool.arms.size();
  if (candidates_.empty() && !whole_pool) {
    first_rank_ = 0;
    end_rank_ = pool.arms.size();
    gatherCandidates(pool, prompt, chains);
  }
}

void LearnedRouter::chooseLane(const ModelPool& pool, const Prompt& prompt) {
  first_rank_ = 0;
  end_rank_ = pool.arms.size();
  if (!options_.work_lanes || prompt.kind == 0) {
    return;
  }
  lanes_.add(prompt.kind, prompt.prompt_tokens, dispatcher_.now());
  const std::size_t short_workers = lanes_.shortWorkers(pool.arms.size());
  if (short_workers == pool.arms.size()) {
    return;
  }
  if (lanes_.isLong(prompt.kind)) {
    first_rank_ = short_workers;
  } else {
    end_rank_ = short_workers;
  }
}

void LearnedRouter::gatherCandidates(ModelPool& pool, const Prompt& prompt,
                                     const PrefixChains& chains) {
  candidates_.clear();
  const std::size_t limit = std::max(1U, tuning_.route_candidates);
  if (options_.prefix_affinity && !chains.empty()) {
    collectOwners(pool, prompt, chains);
  }
  if (options_.prefix_affinity && chains.homeDepth() > 0) {
    collectHomes(pool, prompt, chains);
  }
  if (pool.arms.size() > limit) {
    collectLeastMeasured(pool);
  }
  collectAtRandom(pool, limit);
  if (options_.fleet_loads) {
    rankByCost(pool, prompt, chains, limit);
  } else {
    rankCandidates(pool, prompt, limit);
  }
}

void LearnedRouter::refreshRates(ModelPool& pool) {
  const base::TimePoint now = dispatcher_.now();
  if (!options_.work_lanes || now - pool.rates_at < RatesLifetime) {
    return;
  }
  pool.rates_at = now;
  double sum = 0;
  double measured = 0;
  for (const ArmPtr& arm : pool.arms) {
    const double rate = arm->statistics.mean().seconds_per_prefill_token;
    sum += rate;
    measured += rate > 0 ? 1 : 0;
  }
  pool.seconds_per_prefill_token = measured > 0 ? sum / measured : 0;
}

void LearnedRouter::collectOwners(const ModelPool& pool, const Prompt& prompt,
                                  const PrefixChains& chains) {
  std::uint32_t cached_tokens = 0;
  for (std::size_t depth = 1; depth <= chains.depth(); ++depth) {
    cached_tokens += prompt.prefix_segments[depth - 1].tokens;
  }
  for (std::size_t depth = chains.depth(); depth > 0; --depth) {
    for (const WorkerNumber owner : prefix_index_.find(chains.at(depth))) {
      for (const ArmPtr& arm : pool.index.armsOf(owner)) {
        consider(*arm, cached_tokens);
      }
    }
    cached_tokens -= prompt.prefix_segments[depth - 1].tokens;
  }
}

std::size_t LearnedRouter::homesNeeded(const ModelPool& pool, const Prompt& prompt,
                                       std::uint64_t chain) const {
  const ArmIndex::Arms home = pool.index.homeOf(chain, 0);
  if (home.empty()) {
    return 0;
  }
  const double measured_s = home.front()->statistics.mean().seconds_per_output_token;
  const double token_s =
      measured_s > 0 ? measured_s : options_.unmeasured_prior.seconds_per_output_token;
  // Where loads are known, what a home cannot take goes on to the next; elsewhere it must not be
  // overrun, so that a chain gets further homes sooner.
  const base::TimePoint now = dispatcher_.now();
  const double own_per_s = options_.fleet_loads ? chain_rate_.provenPerSecond(chain, now)
                                                : chain_rate_.perSecond(chain, now);
  const double streams_per_s = own_per_s * static_cast<double>(fronts_);
  const double busy_slots = streams_per_s * token_s * prompt.maximum_tokens;
  const double own_tokens =
      prompt.last_segment_private ? static_cast<double>(prompt.prefix_segments.back().tokens) : 0;
  const double prefill_share = streams_per_s * own_tokens * pool.seconds_per_prefill_token;
  const double homes =
      std::ceil(std::max(busy_slots / (HomeSlotShare * home.front()->prefill->slots),
                         prefill_share / HomePrefillShare));
  return static_cast<std::size_t>(std::clamp(homes, 1.0, static_cast<double>(pool.arms.size())));
}

void LearnedRouter::collectHomes(const ModelPool& pool, const Prompt& prompt,
                                 const PrefixChains& chains) {
  const std::uint64_t chain = chains.at(chains.homeDepth());
  const std::size_t needed = homesNeeded(pool, prompt, chain);
  const std::size_t looked_at = std::min(needed, HomeChoices);
  if (end_rank_ - first_rank_ < pool.arms.size()) {
    collectHomesInLane(pool, chains, looked_at);
    return;
  }
  for (std::size_t choice = 0; choice < looked_at; ++choice) {
    const std::size_t replica = needed <= HomeChoices ? choice : random_.below(needed);
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      consider(*arm, chains.sharedTokens());
    }
  }
  if (options_.fleet_loads) {
    considerNextHome(pool, chain, needed);
  }
}

void LearnedRouter::collectHomesInLane(const ModelPool& pool, const PrefixChains& chains,
                                       std::size_t needed) {
  const std::uint64_t chain = chains.at(chains.homeDepth());
  const std::size_t most = needed * HomeSearch;
  std::size_t found = 0;
  for (std::size_t replica = 0; replica < most && found < needed; ++replica) {
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      found += isInLane(*arm) ? 1 : 0;
      consider(*arm, chains.sharedTokens());
    }
  }
  if (options_.fleet_loads) {
    considerNextHome(pool, chain, needed);
  }
}

void LearnedRouter::considerNextHome(const ModelPool& pool, std::uint64_t chain,
                                     std::size_t homes) {
  for (std::size_t replica = homes; replica < homes + HomeSearch; ++replica) {
    for (const ArmPtr& arm : pool.index.homeOf(chain, replica)) {
      const std::size_t before = candidates_.size();
      consider(*arm, 0);
      if (candidates_.size() > before) {
        candidates_.back().next_home = true;
        return;
      }
    }
  }
}

void LearnedRouter::collectLeastMeasured(ModelPool& pool) {
  refreshScouts(pool);
  const base::TimePoint now = dispatcher_.now();
  for (Arm* arm : pool.scouts) {
    const ArmStatus status =
        arm->statistics.status(now, pool.epoch_start, tuning_.route_stats_half_life_s);
    if (status != ArmStatus::Proven && mayScout(*arm) && !isExcluded(*arm)) {
      consider(*arm, 0);
      return;
    }
  }
}

void LearnedRouter::refreshScouts(ModelPool& pool) {
  const base::TimePoint now = dispatcher_.now();
  if (pool.scouts_epoch == pool.epoch && now - pool.scouts_at < ScoutListLifetime) {
    return;
  }
  pool.scouts_epoch = pool.epoch;
  pool.scouts_at = now;
  pool.scouts.clear();
  const double half_life_s = tuning_.route_stats_half_life_s;
  for (const ArmPtr& arm : pool.arms) {
    const ArmStatus status = arm->statistics.status(now, pool.epoch_start, half_life_s);
    if (status != ArmStatus::Proven && mayScout(*arm)) {
      pool.scouts.push_back(arm.get());
    }
  }
  const auto measured_less = [&](const Arm* first, const Arm* second) {
    const double first_mass = first->statistics.mass(now, half_life_s);
    const double second_mass = second->statistics.mass(now, half_life_s);
    // Each front takes equally measured arms in its own order.
    return first_mass != second_mass ? first_mass < second_mass
                                     : (first->hash ^ self_hash_) < (second->hash ^ self_hash_);
  };
  const std::size_t kept = std::min(ScoutChoices, pool.scouts.size());
  const auto end_of_kept = pool.scouts.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(pool.scouts.begin(), end_of_kept, pool.scouts.end(), measured_less);
  pool.scouts.resize(kept);
}

void LearnedRouter::collectAtRandom(const ModelPool& pool, std::size_t limit) {
  const std::size_t size = pool.arms.size();
  if (size <= limit) {
    for (const ArmPtr& arm : pool.arms) {
      consider(*arm, 0);
    }
    return;
  }
  const std::size_t lane_size = std::max<std::size_t>(1, end_rank_ - first_rank_);
  const std::size_t attempts = 2 * limit * (size / lane_size);
  for (std::size_t attempt = 0; attempt < attempts && candidates_.size() < limit; ++attempt) {
    consider(*pool.arms[random_.below(size)], 0);
  }
  // With most arms excluded the sample may have missed the few that remain.
  for (std::size_t index = 0; candidates_.empty() && index < size; ++index) {
    consider(*pool.arms[index], 0);
  }
}

void LearnedRouter::rankCandidates(const ModelPool& pool, const Prompt& prompt, std::size_t limit) {
  const base::TimePoint now = dispatcher_.now();
  for (Candidate& candidate : candidates_) {
    const std::uint32_t cached = std::min(candidate.cached_tokens, prompt.prompt_tokens);
    candidate.first_token_s =
        estimateFirstToken(*candidate.arm, prompt.prompt_tokens - cached, prompt.maximum_tokens,
                           options_.unmeasured_prior, now, pool.seconds_per_prefill_token);
  }
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [](const Candidate& first, const Candidate& second) {
                     return first.first_token_s < second.first_token_s;
                   });
  if (candidates_.size() > limit) {
    candidates_.resize(limit);
  }
}

void LearnedRouter::dropHeldBack() {
  const auto allowed = [this](const Candidate& candidate) { return mayScout(*candidate.arm); };
  if (std::any_of(candidates_.begin(), candidates_.end(), allowed)) {
    std::erase_if(candidates_, std::not_fn(allowed));
    return;
  }
  // A known bound is kept even where no other worker is left.
  std::erase_if(candidates_, [](const Candidate& candidate) {
    return candidate.arm->prefill->cold.bearable_per_s > 0;
  });
}

void LearnedRouter::dropFarFromBest() {
  const double bound = options_.work_lanes
                           ? candidates_.front().first_token_s + FarSecondsInLane
                           : candidates_.front().first_token_s * FarFactor + FarSeconds;
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(candidates_, [this, bound, now](const Candidate& candidate) {
    const bool measured =
        candidate.arm->statistics.mass(now, tuning_.route_stats_half_life_s) >= ProvenMass;
    return measured && candidate.first_token_s > bound;
  });
}

bool LearnedRouter::mayScout(const Arm& arm) const {
  if (!options_.slow_start_limiter) {
    return true;
  }
  const base::TimePoint now = dispatcher_.now();
  const auto allows = [this, now](const WorkerRecord& worker) {
    return slow_start_limiter_.mayPlace(worker.cold, worker.slots, now);
  };
  return allows(*arm.prefill) && (!arm.decode || allows(*arm.decode));
}

bool LearnedRouter::scoutDue(const Arm& arm) const {
  const base::Duration interval = ScoutSpacing * static_cast<std::int64_t>(fronts_);
  const bool spaced = options_.slow_start_limiter && fronts_ > 1 && arm.scouted;
  return !spaced || dispatcher_.now() - arm.scouted_at >= interval;
}

double LearnedRouter::drawSpeed(const Candidate& candidate, const Prompt& prompt) const {
  const SpeedSample& mean = candidate.arm->statistics.mean();
  const bool has_rates = mean.seconds_per_output_token > 0;
  if (!options_.score_hygiene || !has_rates) {
    return mean.tokens_per_second;
  }
  const double tokens = std::max(1U, prompt.maximum_tokens);
  return tokens / (candidate.first_token_s + tokens * mean.seconds_per_output_token);
}

Selection LearnedRouter::select(const ModelPool& pool, const Prompt& prompt) {
  const base::TimePoint now = dispatcher_.now();
  selection_.clear();
  for (const Candidate& candidate : candidates_) {
    const RouteStatistics& statistics = candidate.arm->statistics;
    SelectionCandidate row;
    row.proven = statistics.status(now, pool.epoch_start, tuning_.route_stats_half_life_s) ==
                 ArmStatus::Proven;
    row.mass = statistics.mass(now, tuning_.route_stats_half_life_s);
    row.prior = -candidate.first_token_s;
    row.tokens_per_second = drawSpeed(candidate, prompt);
    row.may_scout = mayScout(*candidate.arm);
    row.scout_due = scoutDue(*candidate.arm);
    selection_.push_back(row);
  }
  return selectArm(selection_, tuning_.route_explore_share, tuning_.route_weight_alpha, random_);
}

}  // namespace switchsaddle::routing
