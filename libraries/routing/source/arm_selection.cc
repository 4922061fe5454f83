#include "switchsaddle/routing/arm_selection.h"

#include <cmath>
#include <optional>

namespace switchsaddle::routing {

namespace {

bool isScoutedBefore(const SelectionCandidate& first, const SelectionCandidate& second) {
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
    if (!best || isScoutedBefore(candidate, candidates[*best])) {
      best = index;
    }
  }
  return best;
}

/** The best prior among arms that slow start admits, or among all if it admits none. */
std::size_t bestPrior(std::span<const SelectionCandidate> candidates) {
  std::size_t best = 0;
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    const SelectionCandidate& candidate = candidates[index];
    const SelectionCandidate& incumbent = candidates[best];
    const bool is_better_class = candidate.may_scout && !incumbent.may_scout;
    const bool same_class = candidate.may_scout == incumbent.may_scout;
    if (is_better_class || (same_class && candidate.prior > incumbent.prior)) {
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

/** The proven arm at this point of the cumulative weights. */
std::size_t drawProven(std::span<const SelectionCandidate> candidates, double alpha, double point) {
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
  return last_proven;
}

}  // namespace

Selection selectArm(std::span<const SelectionCandidate> candidates, double explore_share,
                    double alpha, base::RandomSource& random) {
  double total = 0;
  for (const SelectionCandidate& candidate : candidates) {
    total += weightOf(candidate, alpha);
  }
  if (!(total > 0)) {
    return Selection{bestPrior(candidates), SelectionMode::BestPrior};
  }
  if (random.chance(explore_share)) {
    const std::optional<std::size_t> scouted = leastMeasured(candidates);
    if (scouted) {
      return Selection{*scouted, SelectionMode::Scout};
    }
  }
  return Selection{drawProven(candidates, alpha, random.uniform() * total), SelectionMode::Exploit};
}

}  // namespace switchsaddle::routing
