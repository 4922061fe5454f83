#pragma once

#include <cstddef>
#include <span>

#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::routing {

/** The properties of a candidate that ADR-0021's policy uses. */
struct SelectionCandidate {
  bool proven = false;
  /** Decayed sample mass; arms with less mass are scouted first. */
  double mass = 0;
  /** Decides if no arm is proven, and breaks ties between arms of equal mass; higher is better. */
  double prior = 0;
  /** Weight of a proven arm in the draw, in tokens per second. */
  double tokens_per_second = 0;
  /** Whether slow start admits a prompt now; only consulted for arms that are not proven. */
  bool may_scout = true;
  /** Whether this front's scout interval for the arm has passed; ignored in mode BestPrior. */
  bool scout_due = true;
};

/** The chosen candidate and the mode that chose it. */
struct Selection {
  std::size_t index = 0;
  SelectionMode mode = SelectionMode::BestPrior;
};

/**
 * ADR-0021's choose_route. If no arm is proven, selects the one with the best prior. Otherwise
 * selects, with probability `explore_share`, the least measured arm that is not proven, or else
 * draws a proven arm with a probability proportional to tokens_per_second^alpha. Arms that slow
 * start does not admit are skipped while others remain.
 *
 * @param candidates must not be empty.
 */
Selection selectArm(std::span<const SelectionCandidate> candidates, double explore_share,
                    double alpha, base::RandomSource& random);

}  // namespace switchsaddle::routing
