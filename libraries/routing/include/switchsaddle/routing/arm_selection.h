#pragma once

#include <cstddef>
#include <span>

#include "switchsaddle/base/random.h"
#include "switchsaddle/routing/router.h"

namespace switchsaddle::routing {

/** What ADR-0021's policy needs to know of one candidate. */
struct SelectionCandidate {
  bool proven = false;
  /** Decayed sample mass: less is scouted first. */
  double mass = 0;
  /** Rank where nothing is proven and among equally little measured arms; higher is better. */
  double prior = 0;
  /** Speed drawn on among proven arms, tokens per second. */
  double tokens_per_second = 0;
  /** Whether the cold guard lets this node try the arm now; only looked at for arms not proven. */
  bool may_scout = true;
  /** Whether this front's turn to scout the arm has come; without weight for the best prior. */
  bool scout_due = true;
};

struct Selection {
  std::size_t index = 0;
  Mode mode = Mode::BestPrior;
};

/**
 * ADR-0021's choose_route: with probability `explore_share` the least-measured arm that is not
 * proven; where no arm is proven the best prior; else a draw among proven arms with P proportional
 * to tps^alpha. Arms the cold guard holds back are passed over as long as any other remains.
 * Candidates must not be empty.
 */
Selection selectArm(std::span<const SelectionCandidate> candidates, double explore_share,
                    double alpha, base::RandomSource& random);

}  // namespace switchsaddle::routing
