#pragma once

#include <cstddef>

#include "switchsaddle/routing/first_token_estimate.h"

namespace switchsaddle::routing {

/** Extensions of ADR-0021's policy; docs/ROUTING.md has a measurement of each. */
struct RouterOptions {
  /** Prefer workers that have a prompt's prefix in their cache. */
  bool prefix_affinity = true;
  /** Do not draw from arms whose estimated time to the first token is far above the best. */
  bool load_estimates = true;
  /** Limit the prompts sent to workers that are warming up. */
  bool slow_start_limiter = true;
  /** Weigh arms by the speed estimated for the prompt, corrected for prefix hits and lengths,
   * instead of end-to-end tokens per second. */
  bool score_hygiene = true;
  /** Serve kinds of work with long prompts and kinds with short prompts on different workers. */
  bool work_lanes = false;
  /** Place by the load of all fronts and an expected cost instead of by this front's own
   * measurements. */
  bool fleet_loads = false;
  /** Capacity of the prefix index, in chains. */
  std::size_t prefix_chains = 1U << 16U;
  UnmeasuredPrior unmeasured_prior;

  /** @return ADR-0021's policy without extensions, as a baseline. */
  static RouterOptions plain();
};

}  // namespace switchsaddle::routing
