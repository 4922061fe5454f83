#pragma once

#include <cstddef>
#include <span>

#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::routing {

/** One candidate as ADR-0021's policy sees it. */
struct SelectionCandidate {
  bool proven = false;
  /** Decayed sample mass; arms with less mass are scouted first. */
  double mass = 0;
  /** Rank where no arm is proven, and tie-break between arms of equal mass; higher is better. */
  double prior = 0;
  /** Weight of a proven arm in the draw, in tokens per second. */
  double tokens_per_second = 0;
  /** Whether slow start admits a prompt now; only consulted for arms that are not proven. */
  bool may_scout = true;
  /** Whether this front's scout interval for the arm has passed; ignored by the best prior. */
  bool scout_due = true;
};

/** The candidate chosen, and by which mode. */
struct Selection {
  std::size_t index = 0;
  SelectionMode mode = SelectionMode::BestPrior;
};

/**
 * ADR-0021's choose_route. With probability `explore_share` selects the least measured arm that is
 * not proven; if no arm is proven, the best prior; otherwise draws among proven arms with
 * P proportional to tps^alpha. Arms that slow start does not admit are skipped while others remain.
 *
 * @param candidates must not be empty.
 */
Selection selectArm(std::span<const SelectionCandidate> candidates, double explore_share,
                    double alpha, base::RandomSource& random);

}  // namespace switchsaddle::routing
