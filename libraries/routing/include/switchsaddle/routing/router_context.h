#pragma once

#include <cstddef>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/routing/model_pool.h"
#include "switchsaddle/routing/peer_load.h"
#include "switchsaddle/routing/router_options.h"
#include "switchsaddle/routing/slow_start_limiter.h"
#include "switchsaddle/routing/work_lanes.h"

namespace switchsaddle::routing {

/**
 * The environment, settings and fleet state that the components of one router share. Owned by the
 * router, which alone changes it. Runs on the control strand.
 */
struct RouterContext {
  base::Dispatcher& dispatcher;
  base::RandomSource& random;
  RouterOptions options;
  configuration::Tuning tuning{};
  /** Fronts with live sessions, this one included. */
  std::size_t fronts = 1;
  SlowStartLimiter slow_start_limiter{};
  PeerLoad peer_load{};
  WorkLanes lanes{};

  base::TimePoint now() const { return dispatcher.now(); }
  /** Decayed sample mass of an arm. */
  double massOf(const Arm& arm) const {
    return arm.statistics.mass(now(), tuning.route_stats_half_life_s);
  }
  ArmStatus statusOf(const ModelPool& pool, const Arm& arm) const {
    return arm.statistics.status(now(), pool.epoch_start, tuning.route_stats_half_life_s);
  }
};

}  // namespace switchsaddle::routing
