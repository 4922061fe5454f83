#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "switchsaddle/routing/arm_index.h"
#include "switchsaddle/routing/first_token_model.h"

namespace switchsaddle::routing {

/** The least measured arms of a pool, recomputed at intervals rather than for every prompt. */
struct ScoutList {
  /** Least measured first. */
  std::vector<Arm*> arms;
  base::TimePoint refreshed_at{};
  /** The pool's epoch at the last refresh; zero: never refreshed. */
  std::uint64_t epoch = 0;
};

/** The arms of one model in one worker pool, and the epoch of their scores. */
struct ModelPool {
  std::string model;
  /** Name of the worker pool. */
  std::string pool;
  std::uint64_t epoch = 1;
  /** When the current epoch began; older samples are stale. */
  base::TimePoint epoch_start{};
  std::vector<ArmPtr> arms;
  /** Mean prefill rate of the measured arms; zero if none is measured or the option `work_lanes` is
   * not set. */
  double seconds_per_prefill_token = 0;
  base::TimePoint rates_refreshed_at{};
  /** Fitted from this front's own answers. */
  FirstTokenModel first_token_model;
  ArmIndex index;
  ScoutList scouts;
  /** Arms that are not in the current snapshot; their means are kept until they are pruned. */
  std::vector<ArmPtr> retired;
};

/** Identifies a ModelPool: one model may be served by several pools. */
struct PoolKey {
  std::string model;
  std::string pool;

  auto operator<=>(const PoolKey&) const = default;
};

using ModelPools = std::map<PoolKey, ModelPool>;

}  // namespace switchsaddle::routing
