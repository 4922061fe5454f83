#pragma once

#include <cstdint>

#include "switchsaddle/routing/arm.h"

namespace switchsaddle::routing {

/** Rates assumed for arms that were never measured; ADR-0021 does not specify them. */
struct UnmeasuredPrior {
  double seconds_per_prefill_token = 0.000'2;
  double seconds_per_output_token = 0.02;
  double base_seconds = 0.005;
};

/** From this ratio of an arm's prefill rate to its pool's on, estimates use the arm's own rate. */
inline constexpr double UnhealthyRatio = 2.5;

/**
 * Estimates the time to the first token of a prompt on an arm, in seconds, from this front's own
 * measurements and the load last reported by the worker.
 *
 * @param pool_rate the pool's mean prefill rate in seconds per token, see prefillRate().
 */
double estimateFirstToken(const Arm& arm, std::uint32_t uncached_tokens,
                          std::uint32_t output_tokens, const UnmeasuredPrior& prior,
                          base::TimePoint now, double pool_rate = 0);

/**
 * Seconds in which the arm prefills one token. The pool's rate takes precedence over the arm's own
 * unless the arm is UnhealthyRatio times as slow: an arm's own rate mostly reflects its load at the
 * time, and if all fronts sent long prompts to the arm that measured fastest, they would overload
 * it.
 *
 * @param pool_rate seconds per token; zero: unknown.
 */
double prefillRate(const Arm& arm, const UnmeasuredPrior& prior, double pool_rate);

/** Estimated number of requests on the worker now, including this front's. */
std::uint32_t estimatedLoad(const WorkerRecord& record, base::TimePoint now);

}  // namespace switchsaddle::routing
