#include "switchsaddle/routing/arm_selection.h"

#include <cmath>
#include <optional>

namespace switchsaddle::routing {

namespace {

bool scoutsBefore(const SelectionCandidate& first, const SelectionCandidate& second) {
  if (first.mass != second.mass) {
    return first.mass < second.mass;
  }
  return first.prior > second.prior;
}

std::optional<std::size_t> leastMeasured(std::span<const SelectionCandidate> candidates) {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const SelectionCandidate& candidate = candidates[index];
    if (candidate.proven || !candidate.may_scout || !candidate.scout_due) {
      continue;
    }
    if (!best || scoutsBefore(candidate, candidates[*best])) {
      best = index;
    }
  }
  return best;
}

/** The best prior among arms the cold guard allows, or among all where it allows none. */
std::size_t bestPrior(std::span<const SelectionCandidate> candidates) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    const SelectionCandidate& candidate = candidates[index];
    const SelectionCandidate& leader = candidates[best];
    const bool allowed_first = candidate.may_scout && !leader.may_scout;
    const bool same_class = candidate.may_scout == leader.may_scout;
    if (allowed_first || (same_class && candidate.prior > leader.prior)) {
      best = index;
    }
  }
  return best;
}

double weightOf(const SelectionCandidate& candidate, double alpha) {
  if (!candidate.proven) {
    return 0;
  }
  return alpha == 1.0 ? candidate.tokens_per_second : std::pow(candidate.tokens_per_second, alpha);
}

}  // namespace

Selection selectArm(std::span<const SelectionCandidate> candidates, double explore_share,
                    double alpha, base::RandomSource& random) {
  double total = 0;
  for (const SelectionCandidate& candidate : candidates) {
    total += weightOf(candidate, alpha);
  }
  if (!(total > 0)) {
    return Selection{bestPrior(candidates), Mode::BestPrior};
  }
  if (random.chance(explore_share)) {
    const std::optional<std::size_t> scouted = leastMeasured(candidates);
    if (scouted) {
      return Selection{*scouted, Mode::Scout};
    }
  }
  double point = random.uniform() * total;
  std::size_t last_proven = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const double weight = weightOf(candidates[index], alpha);
    if (weight <= 0) {
      continue;
    }
    last_proven = index;
    point -= weight;
    if (point < 0) {
      break;
    }
  }
  return Selection{last_proven, Mode::Exploit};
}

}  // namespace switchsaddle::routing
