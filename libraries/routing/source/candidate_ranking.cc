#include "switchsaddle/routing/candidate_ranking.h"

#include <algorithm>
#include <functional>

namespace switchsaddle::routing {

namespace {

/** Candidates whose first token is later than the best one's by this factor plus this time are not
 * drawn from. */
constexpr double SlowerFactor = 1.25;
constexpr double SlowerSeconds = 0.010;
/** The same bound within a lane, without a factor: a prefix cache miss costs more than this. */
constexpr double SlowerSecondsInLane = 0.004;
/** Measured candidates within this cost of the cheapest are drawn from as well, since the estimates
 * are too inaccurate to separate them. In tokens of shared prefix, see placementCost(). */
constexpr double NearEqualCost = 60;
/** The same for candidates that are not measured: the cost accepted for measuring them. */
constexpr double ScoutAllowance = 400;

}  // namespace

void CandidateRanking::rank(const ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                            std::vector<Candidate>& candidates) const {
  if (context_.options.fleet_loads) {
    rankByCost(pool, prompt, chains, candidates);
  } else {
    rankByLatency(pool, prompt, candidates);
  }
  const std::size_t limit = std::max(1U, context_.tuning.route_candidates);
  if (candidates.size() > limit) {
    candidates.resize(limit);
  }
}

void CandidateRanking::rankByLatency(const ModelPool& pool, const Prompt& prompt,
                                     std::vector<Candidate>& candidates) const {
  for (Candidate& candidate : candidates) {
    estimator_.estimateLatency(pool, prompt, candidate);
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::first_token_s);
}

void CandidateRanking::rankByCost(const ModelPool& pool, const Prompt& prompt,
                                  const PrefixChains& chains,
                                  std::vector<Candidate>& candidates) const {
  for (Candidate& candidate : candidates) {
    estimator_.estimateCost(pool, prompt, chains, candidate);
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::cost);
}

void CandidateRanking::filter(std::vector<Candidate>& candidates) const {
  dropNotAdmitted(candidates);
  if (candidates.empty()) {
    return;
  }
  if (context_.options.fleet_loads) {
    dropCostlier(candidates);
  } else if (context_.options.load_estimates) {
    dropSlower(candidates);
  }
}

void CandidateRanking::dropNotAdmitted(std::vector<Candidate>& candidates) const {
  const auto is_admitted = [this](const Candidate& candidate) {
    return scouts_.isAdmitted(*candidate.arm);
  };
  if (std::ranges::any_of(candidates, is_admitted)) {
    std::erase_if(candidates, std::not_fn(is_admitted));
    return;
  }
  // A configured rate limit is enforced even if no other worker remains.
  std::erase_if(candidates, [](const Candidate& candidate) {
    return candidate.arm->prefill->slow_start.rate_limit_per_s > 0;
  });
}

void CandidateRanking::dropSlower(std::vector<Candidate>& candidates) const {
  const double best_s = candidates.front().first_token_s;
  const double bound_s = context_.options.work_lanes ? best_s + SlowerSecondsInLane
                                                     : best_s * SlowerFactor + SlowerSeconds;
  std::erase_if(candidates, [this, bound_s](const Candidate& candidate) {
    return isMeasured(candidate) && candidate.first_token_s > bound_s;
  });
}

void CandidateRanking::dropCostlier(std::vector<Candidate>& candidates) const {
  const double best = candidates.front().cost;
  std::erase_if(candidates, [this, best](const Candidate& candidate) {
    return candidate.cost > best + (isMeasured(candidate) ? NearEqualCost : ScoutAllowance);
  });
}

bool CandidateRanking::isMeasured(const Candidate& candidate) const {
  return context_.massOf(*candidate.arm) >= ProvenMass;
}

}  // namespace switchsaddle::routing
