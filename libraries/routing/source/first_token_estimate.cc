#include "switchsaddle/routing/first_token_estimate.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::routing {

namespace {

/** Reported loads older than this are ignored. */
constexpr base::Duration LoadReportLifetime = std::chrono::seconds(5);

/** Exponent of the share of slots in use, which estimates the wait for a slot. A higher exponent
 * means that a worker must be fuller before prompts are expected to wait. */
constexpr double NearlyFullExponent = 4.0;

double measuredOrPrior(double measured, double prior) {
  return measured > 0 ? measured : prior;
}

}  // namespace

std::uint32_t estimatedLoad(const WorkerRecord& record, base::TimePoint now) {
  const bool fresh = now - record.load_reported_at < LoadReportLifetime;
  return record.slow_start.in_flight + (fresh ? record.peer_load : 0);
}

double prefillRate(const Arm& arm, const UnmeasuredPrior& prior, double pool_rate) {
  const double own_rate = arm.statistics.mean().seconds_per_prefill_token;
  const bool pooled = pool_rate > 0 && own_rate < pool_rate * UnhealthyRatio;
  return pooled ? pool_rate : measuredOrPrior(own_rate, prior.seconds_per_prefill_token);
}

double estimateFirstToken(const Arm& arm, std::uint32_t uncached_tokens,
                          std::uint32_t output_tokens, const UnmeasuredPrior& prior,
                          base::TimePoint now, double pool_rate) {
  const SpeedSample& mean = arm.statistics.mean();
  const double output_rate =
      measuredOrPrior(mean.seconds_per_output_token, prior.seconds_per_output_token);
  const double prefill_s = uncached_tokens * prefillRate(arm, prior, pool_rate);
  const double service_s = prefill_s + output_tokens * output_rate;
  const WorkerRecord& worker = *arm.prefill;
  const double slots = std::max(1U, worker.slots);
  const double load = estimatedLoad(worker, now);
  // Loads are estimates: slots that are nearly full may be full by now.
  const double nearly_full = std::pow(std::min(1.0, load / slots), NearlyFullExponent);
  const double waiting = std::max(nearly_full, load + 1.0 - slots);
  const double queue_s = waiting / slots * service_s;
  // Running requests share the processor with a new prefill; this spreads load before slots are
  // full.
  const double sharing_s = prefill_s * std::min(1.0, load / slots);
  return prior.base_seconds + queue_s + prefill_s + sharing_s;
}

}  // namespace switchsaddle::routing
