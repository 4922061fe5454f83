#include "switchsaddle/routing/placement_tracker.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::routing {

namespace {

/** A sample of the prefill rate has full weight from this many uncached tokens on. */
constexpr double FullPrefillTokens = 1'000.0;
/** Minimum age of an epoch before a failure starts a new one; otherwise no arm would be proven
 * during a burst of failures. */
constexpr base::Duration MinimumEpochAgeOnFailure = std::chrono::seconds(10);
/** A first token that waited longer for other prefills is not a sample of the prefill rate. */
constexpr double MaximumQueueOfSampleSeconds = 0.05;

double toSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

SpeedSample sampleOf(const Completion& completion) {
  SpeedSample sample;
  const double total_s = toSeconds(completion.total);
  const double first_token_s = toSeconds(completion.time_to_first_token);
  sample.tokens_per_second = total_s > 0 ? completion.output_tokens / total_s : 0;
  if (completion.uncached_tokens > 0 && first_token_s > 0) {
    sample.seconds_per_prefill_token = first_token_s / completion.uncached_tokens;
    sample.prefill_weight = std::min(1.0, completion.uncached_tokens / FullPrefillTokens);
  }
  if (completion.output_tokens > 1 && total_s > first_token_s) {
    sample.seconds_per_output_token = (total_s - first_token_s) / (completion.output_tokens - 1);
  }
  return sample;
}

}  // namespace

void PlacementTracker::begin(ModelPool& pool, const Prompt& prompt, const PrefixChains& chains,
                             const Placement& placement, Arm& arm) {
  const base::TimePoint now = context_.now();
  recordRequest(*arm.prefill);
  if (arm.decode) {
    recordRequest(*arm.decode);
  }
  if (placement.mode == SelectionMode::Scout) {
    arm.scouted = true;
    arm.scouted_at = now;
  }
  affinity_.recordPlacement(chains, arm.prefill->number);
  InFlight in_flight{arm.shared_from_this(), &pool, chains};
  in_flight.placed_at = now;
  in_flight.uncached_tokens = prompt.prompt_tokens - placement.cached_tokens;
  in_flight.queue_s = estimator_.queueSeconds(arm);
  in_flight.prefill_s = estimator_.prefillSeconds(pool, arm, in_flight.uncached_tokens);
  context_.lanes.addPrefill(prompt.kind, in_flight.uncached_tokens);
  arm.prefill->prefill_queue.add(in_flight.prefill_s, now);
  in_flight_.emplace(placement.ticket, std::move(in_flight));
}

void PlacementTracker::recordRequest(WorkerRecord& worker) {
  ++worker.slow_start.in_flight;
  worker.slow_start.placed = true;
  worker.slow_start.last_placed = context_.now();
}

void PlacementTracker::onFirstToken(std::uint64_t ticket) {
  const auto found = in_flight_.find(ticket);
  if (found == in_flight_.end() || found->second.answered) {
    return;
  }
  InFlight& in_flight = found->second;
  recordAnswer(in_flight);
  if (in_flight.queue_s <= MaximumQueueOfSampleSeconds) {
    const double first_token_s = toSeconds(context_.now() - in_flight.placed_at);
    in_flight.pool->first_token_model.add(in_flight.uncached_tokens,
                                          first_token_s - in_flight.queue_s);
  }
}

void PlacementTracker::recordAnswer(InFlight& in_flight) {
  if (in_flight.answered) {
    return;
  }
  in_flight.answered = true;
  in_flight.arm->prefill->prefill_queue.remove(in_flight.prefill_s, context_.now());
}

void PlacementTracker::complete(const Completion& completion) {
  const auto found = in_flight_.find(completion.ticket);
  if (found == in_flight_.end()) {
    return;
  }
  InFlight in_flight = std::move(found->second);
  in_flight_.erase(found);
  recordAnswer(in_flight);
  releaseWorkers(*in_flight.arm, completion);
  if (completion.failed) {
    recordFailure(in_flight);
  } else {
    recordSuccess(in_flight, completion);
  }
}

void PlacementTracker::releaseWorkers(Arm& arm, const Completion& completion) {
  arm.prefill->last_request_ended_at = context_.now();
  --arm.prefill->slow_start.in_flight;
  if (arm.decode) {
    --arm.decode->slow_start.in_flight;
  }
  if (completion.has_load) {
    recordReportedLoad(*arm.prefill, completion);
  }
}

void PlacementTracker::recordReportedLoad(WorkerRecord& worker, const Completion& completion) {
  const std::uint32_t reported = completion.running + completion.queued;
  const std::uint32_t own = worker.slow_start.in_flight + 1;
  worker.peer_load = reported > own ? reported - own : 0;
  worker.load_reported_at = context_.now();
  if (completion.slots > 0) {
    worker.slots = completion.slots;
  }
}

void PlacementTracker::recordFailure(const InFlight& in_flight) {
  affinity_.forget(in_flight.chains, in_flight.arm->prefill->number);
  in_flight.arm->statistics.markStale();
  if (context_.now() - in_flight.pool->epoch_start >= MinimumEpochAgeOnFailure) {
    registry_.advanceEpoch(*in_flight.pool);
  }
}

void PlacementTracker::recordSuccess(const InFlight& in_flight, const Completion& completion) {
  Arm& arm = *in_flight.arm;
  std::string& weights_version = arm.prefill->worker.entry.weights_version;
  const bool other_weights = !completion.weights_version.empty() && !weights_version.empty() &&
                             completion.weights_version != weights_version;
  if (other_weights) {
    weights_version = completion.weights_version;
    registry_.advanceEpoch(*in_flight.pool);
  }
  arm.prefill->slow_start.samples += 1;
  if (arm.decode) {
    arm.decode->slow_start.samples += 1;
  }
  if (completion.output_tokens >= context_.tuning.route_min_sample_tokens) {
    arm.statistics.add(sampleOf(completion), context_.now(),
                       context_.tuning.route_stats_half_life_s);
  }
}

}  // namespace switchsaddle::routing
