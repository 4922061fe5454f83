#include "switchsaddle/routing/placement_estimator.h"

#include <algorithm>

#include "switchsaddle/routing/placement_cost.h"

namespace switchsaddle::routing {

namespace {

/** How long an idle connection is assumed to stay open. */
constexpr base::Duration IdleConnectionLifetime = std::chrono::seconds(5);
/** Share of a chain's tokens that its overflow home is expected to have cached. */
constexpr double OverflowHomeCachedShare = 0.5;

double toSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::uint32_t cachedTokens(const Prompt& prompt, const Candidate& candidate) {
  return std::min(candidate.cached_tokens, prompt.prompt_tokens);
}

}  // namespace

void PlacementEstimator::estimateLatency(const ModelPool& pool, const Prompt& prompt,
                                         Candidate& candidate) const {
  const std::uint32_t uncached = prompt.prompt_tokens - cachedTokens(prompt, candidate);
  candidate.first_token_s = estimateFirstToken(*candidate.arm, uncached, prompt.maximum_tokens,
                                               context_.options.unmeasured_prior, context_.now(),
                                               pool.seconds_per_prefill_token);
}

void PlacementEstimator::estimateCost(const ModelPool& pool, const Prompt& prompt,
                                      const PrefixChains& chains, Candidate& candidate) const {
  const Arm& arm = *candidate.arm;
  const WorkerRecord& worker = *arm.prefill;
  const std::uint32_t cached = cachedTokens(prompt, candidate);
  const double queue_s = queueSeconds(arm);
  const double backlog_s = queue_s + prefillSeconds(pool, arm, prompt.prompt_tokens - cached);
  candidate.first_token_s =
      pool.first_token_model.baseSeconds() + backlog_s + slotWaitSeconds(arm, prompt);
  const double mean_tokens = context_.lanes.meanTokens(prompt.kind);
  const double shared = chains.sharedTokens();
  const double expected_cached =
      std::max<double>(cached, candidate.overflow_home ? shared * OverflowHomeCachedShare : 0);
  ExpectedPlacement expected;
  expected.first_token_s = candidate.first_token_s;
  expected.backlog_s = backlog_s;
  expected.queue_s = queue_s;
  expected.streams = requestsInFlight(arm);
  expected.gap_goal_s = toSeconds(prompt.event_gap_goal);
  expected.goal_s = toSeconds(prompt.first_token_goal);
  expected.relative_size = mean_tokens > 0 ? prompt.prompt_tokens / mean_tokens : 1;
  expected.cache_miss_tokens = std::max(0.0, shared - expected_cached);
  expected.opens_connection =
      !worker.last_request_ended_at ||
      context_.now() - *worker.last_request_ended_at > IdleConnectionLifetime;
  candidate.cost = placementCost(expected);
}

double PlacementEstimator::queueSeconds(const Arm& arm) const {
  const base::TimePoint now = context_.now();
  const WorkerRecord& worker = *arm.prefill;
  return worker.prefill_queue.remainingSeconds(now) +
         context_.peer_load.of(worker.load_key, now).prefill_s;
}

double PlacementEstimator::prefillSeconds(const ModelPool& pool, const Arm& arm,
                                          std::uint32_t tokens) const {
  const double own = arm.statistics.mean().seconds_per_prefill_token;
  const double mean = pool.seconds_per_prefill_token;
  const bool is_slow = mean > 0 && own > mean * UnhealthyRatio;
  return tokens * pool.first_token_model.secondsPerToken() * (is_slow ? own / mean : 1.0);
}

double PlacementEstimator::requestsInFlight(const Arm& arm) const {
  const WorkerRecord& worker = *arm.prefill;
  return worker.slow_start.in_flight +
         context_.peer_load.of(worker.load_key, context_.now()).requests;
}

double PlacementEstimator::slotWaitSeconds(const Arm& arm, const Prompt& prompt) const {
  const double slots = std::max(1U, arm.prefill->slots);
  const double waiting = std::max(0.0, requestsInFlight(arm) + 1 - slots);
  const double measured = arm.statistics.mean().seconds_per_output_token;
  const double token_s =
      measured > 0 ? measured : context_.options.unmeasured_prior.seconds_per_output_token;
  return waiting / slots * token_s * prompt.maximum_tokens;
}

}  // namespace switchsaddle::routing
