#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/routing/arm_index.h"
#include "switchsaddle/routing/first_token_model.h"

namespace switchsaddle::routing {

/** The arms of one model, and the epoch its scores are counted in. */
struct ModelPool {
  std::string model;
  std::string pool;
  std::uint64_t epoch = 1;
  /** When the present epoch began; older samples are stale. */
  base::TimePoint epoch_start{};
  std::vector<ArmPtr> arms;
  /** Mean time to read a prompt token over the measured arms, in seconds; zero where none is, and
   * while each arm is judged by its own. */
  double seconds_per_prefill_token = 0;
  base::TimePoint rates_at{};
  /** What this front's own answers told of the pool. */
  FirstTokenModel first_token;
  ArmIndex index;
  /** The arms to scout first, as of `scouts_at`; looked up anew now and then, not each time. */
  std::vector<Arm*> scouts;
  base::TimePoint scouts_at{};
  std::uint64_t scouts_epoch = 0;
  /** Arms not in the present list, kept for their means until pruned. */
  std::vector<ArmPtr> retired;
};

/** Time limits and guesses for arms never measured; ours, not the source's. */
struct UnmeasuredPrior {
  double seconds_per_prefill_token = 0.000'2;
  double seconds_per_output_token = 0.02;
  double base_seconds = 0.005;
};

/**
 * Estimated time to the first token of a prompt on an arm, in seconds. `pool_rate` goes before the
 * arm's own prefill rate where it is above zero: what an arm measured is mostly the load it had
 * then, and if all fronts sent their long prompts to the arm that looked fastest it would be the
 * slowest. An arm UnhealthyRatio times as slow as its pool is judged by its own rate all the same.
 */
double estimateFirstToken(const Arm& arm, std::uint32_t uncached_tokens,
                          std::uint32_t output_tokens, const UnmeasuredPrior& prior,
                          base::TimePoint now, double pool_rate = 0);
inline constexpr double UnhealthyRatio = 2.5;

/** Seconds in which the arm reads a prompt token; `pool_rate` as above. */
double prefillRate(const Arm& arm, const UnmeasuredPrior& prior, double pool_rate);

/** Requests believed to be on the worker now, this front's own included. */
std::uint32_t believedLoad(const WorkerRecord& record, base::TimePoint now);

}  // namespace switchsaddle::routing
