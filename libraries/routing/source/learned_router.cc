#include "switchsaddle/routing/learned_router.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

namespace {

base::Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Uncached tokens from which on a sample tells the prefill rate fully. */
constexpr double FullPrefill = 1'000.0;

SpeedSample sampleOf(const Completion& completion) {
  SpeedSample sample;
  const double total_s = toSeconds(completion.total);
  const double first_token_s = toSeconds(completion.time_to_first_token);
  sample.tokens_per_second = total_s > 0 ? completion.output_tokens / total_s : 0;
  if (completion.uncached_tokens > 0 && first_token_s > 0) {
    sample.seconds_per_prefill_token = first_token_s / completion.uncached_tokens;
    sample.prefill_weight = std::min(1.0, completion.uncached_tokens / FullPrefill);
  }
  if (completion.output_tokens > 1 && total_s > first_token_s) {
    sample.seconds_per_output_token = (total_s - first_token_s) / (completion.output_tokens - 1);
  }
  return sample;
}

}  // namespace

RouterOptions RouterOptions::plain() {
  RouterOptions options;
  options.prefix_affinity = false;
  options.load_estimates = false;
  options.slow_start_limiter = false;
  options.score_hygiene = false;
  return options;
}

LearnedRouter::LearnedRouter(base::Dispatcher& dispatcher, base::RandomSource& random,
                             base::NodeAddress self, RouterOptions options)
    : dispatcher_(dispatcher),
      random_(random),
      self_(std::move(self)),
      self_hash_(base::hashBytes(self_.toString())),
      options_(options),
      prefix_index_(options.prefix_chains) {}

ModelPool* LearnedRouter::findPool(const std::string& pool, const std::string& model) {
  const auto found = pools_.find(PoolKey{model, pool});
  return found == pools_.end() ? nullptr : &found->second;
}

std::uint64_t LearnedRouter::epochOf(const std::string& model) const {
  for (const auto& [key, pool] : pools_) {
    if (key.model == model) {
      return pool.epoch;
    }
  }
  return 0;
}

std::optional<Placement> LearnedRouter::choose(const Prompt& prompt,
                                               const configuration::Route& route,
                                               const std::vector<std::string>& excluded) {
  ModelPool* pool = findPool(route.pool, prompt.model);
  if (pool == nullptr) {
    return std::nullopt;
  }
  const PrefixChains chains(prompt);
  collectCandidates(*pool, prompt, chains, excluded);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  dropHeldBack();
  if (candidates_.empty()) {
    return std::nullopt;
  }
  if (options_.fleet_loads) {
    dropDearer();
  } else if (options_.load_estimates) {
    dropFarFromBest();
  }
  const Selection selection = select(*pool, prompt);
  const Candidate& chosen = candidates_[selection.index];
  Placement placement;
  placement.mode = selection.mode;
  placement.arm = chosen.arm->signature;
  placement.prefill = chosen.arm->prefill->worker;
  if (chosen.arm->decode) {
    placement.decode = chosen.arm->decode->worker;
    notePlacement(*chosen.arm->decode);
  }
  placement.first_token_estimate = fromSeconds(chosen.first_token_s);
  placement.cached_tokens = std::min(chosen.cached_tokens, prompt.prompt_tokens);
  const std::uint32_t uncached_tokens = prompt.prompt_tokens - placement.cached_tokens;
  placement.prefill_estimate =
      fromSeconds(uncached_tokens * prefillRate(*chosen.arm, options_.unmeasured_prior,
                                                pool->seconds_per_prefill_token));
  placement.ticket = next_ticket_++;
  notePlacement(*chosen.arm->prefill);
  if (selection.mode == Mode::Scout) {
    chosen.arm->scouted = true;
    chosen.arm->scouted_at = dispatcher_.now();
  }
  if (chains.homeDepth() > 0) {
    chain_rate_.add(chains.at(chains.homeDepth()), dispatcher_.now());
  }
  for (const std::uint64_t chain : chains.all()) {
    prefix_index_.add(chain, chosen.arm->prefill->number);
  }
  InFlight in_flight{chosen.arm->shared_from_this(), pool, chains};
  in_flight.placed_at = dispatcher_.now();
  in_flight.uncached_tokens = uncached_tokens;
  lanes_.addRead(prompt.kind, uncached_tokens);
  in_flight.queue_s = queueSeconds(*chosen.arm, in_flight.placed_at);
  in_flight.prefill_s = prefillSeconds(*pool, *chosen.arm, uncached_tokens);
  chosen.arm->prefill->prefill.add(in_flight.prefill_s, in_flight.placed_at);
  in_flight_.emplace(placement.ticket, std::move(in_flight));
  return placement;
}

void LearnedRouter::notePlacement(WorkerRecord& worker) {
  ++worker.cold.in_flight;
  worker.cold.placed = true;
  worker.cold.last_placed = dispatcher_.now();
}

void LearnedRouter::complete(const Completion& completion) {
  const auto found = in_flight_.find(completion.ticket);
  if (found == in_flight_.end()) {
    return;
  }
  InFlight in_flight = std::move(found->second);
  in_flight_.erase(found);
  noteAnswered(in_flight);
  in_flight.arm->prefill->last_ended = dispatcher_.now();
  Arm& arm = *in_flight.arm;
  --arm.prefill->cold.in_flight;
  if (arm.decode) {
    --arm.decode->cold.in_flight;
  }
  ModelPool* pool = in_flight.pool;
  recordLoad(*arm.prefill, completion);
  if (completion.failed) {
    for (const std::uint64_t chain : in_flight.chains.all()) {
      prefix_index_.forget(chain, arm.prefill->number);
    }
    recordFailure(*pool, arm);
    return;
  }
  const std::string& listed = arm.prefill->worker.entry.weights_version;
  const bool other_weights = !completion.weights_version.empty() && !listed.empty() &&
                             completion.weights_version != listed;
  if (other_weights) {
    arm.prefill->worker.entry.weights_version = completion.weights_version;
    bumpEpoch(*pool);
  }
  arm.prefill->cold.samples += 1;
  if (arm.decode) {
    arm.decode->cold.samples += 1;
  }
  if (completion.output_tokens >= tuning_.route_min_sample_tokens) {
    arm.statistics.add(sampleOf(completion), dispatcher_.now(), tuning_.route_stats_half_life_s);
  }
}

void LearnedRouter::recordLoad(WorkerRecord& worker, const Completion& completion) {
  if (!completion.has_load) {
    return;
  }
  const std::uint32_t reported = completion.running + completion.queued;
  const std::uint32_t own = worker.cold.in_flight + 1;
  worker.peer_load = reported > own ? reported - own : 0;
  worker.load_at = dispatcher_.now();
  if (completion.slots > 0) {
    worker.slots = completion.slots;
  }
}

void LearnedRouter::recordFailure(ModelPool& pool, Arm& arm) {
  /** Failures in a storm bump the epoch at most this often, else no arm would ever be proven. */
  constexpr base::Duration ShortestEpoch = std::chrono::seconds(10);
  arm.statistics.markStale();
  if (dispatcher_.now() - pool.epoch_start >= ShortestEpoch) {
    bumpEpoch(pool);
  }
}

std::vector<RoutingRow> LearnedRouter::table(const std::string& model) const {
  std::vector<RoutingRow> rows;
  const base::TimePoint now = dispatcher_.now();
  for (const auto& [key, pool] : pools_) {
    if (!model.empty() && key.model != model) {
      continue;
    }
    double best = 0;
    double total = 0;
    const std::size_t first = rows.size();
    for (const ArmPtr& arm : pool.arms) {
      const RouteStatistics& statistics = arm->statistics;
      const ArmStatus status =
          statistics.status(now, pool.epoch_start, tuning_.route_stats_half_life_s);
      RoutingRow row;
      row.model = key.model;
      row.arm = arm->signature;
      row.tokens_per_second = statistics.mean().tokens_per_second;
      row.samples = statistics.samples();
      row.mass = statistics.mass(now, tuning_.route_stats_half_life_s);
      row.status = armStatusName(status);
      row.epoch = pool.epoch;
      row.first_token_estimate_ms =
          estimateFirstToken(*arm, 0, 1, options_.unmeasured_prior, now) * 1e3;
      row.in_flight = arm->prefill->cold.in_flight;
      row.seconds_per_prefill_token = statistics.mean().seconds_per_prefill_token;
      row.seconds_per_output_token = statistics.mean().seconds_per_output_token;
      if (status == ArmStatus::Proven) {
        best = std::max(best, row.tokens_per_second);
        row.expected_share = std::pow(row.tokens_per_second, tuning_.route_weight_alpha);
        total += row.expected_share;
      }
      rows.push_back(std::move(row));
    }
    for (std::size_t index = first; index < rows.size(); ++index) {
      rows[index].coefficient = best > 0 ? rows[index].tokens_per_second / best : 0;
      rows[index].expected_share = total > 0 ? rows[index].expected_share / total : 0;
    }
  }
  std::sort(rows.begin(), rows.end(), [](const RoutingRow& one, const RoutingRow& other) {
    return one.model != other.model ? one.model < other.model : one.arm < other.arm;
  });
  return rows;
}

std::vector<wire::RouteScore> LearnedRouter::exportScores() const {
  const base::TimePoint now = dispatcher_.now();
  std::vector<FreshArm> fresh;
  for (const auto& [key, pool] : pools_) {
    for (const ArmPtr& arm : pool.arms) {
      const RouteStatistics& statistics = arm->statistics;
      if (statistics.measured() && statistics.measuredAt() >= pool.epoch_start) {
        const bool cold = slow_start_limiter_.isWarmingUp(arm->prefill->cold, now);
        fresh.push_back(FreshArm{cold, statistics.measuredAt(), &pool, arm.get()});
      }
    }
  }
  const std::size_t kept = std::min(fresh.size(), MaximumExportedScores);
  const auto end_of_kept = fresh.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(fresh.begin(), end_of_kept, fresh.end(), tellsMore);
  std::vector<wire::RouteScore> scores;
  scores.reserve(kept);
  std::transform(fresh.begin(), end_of_kept, std::back_inserter(scores),
                 [this](const FreshArm& one) { return scoreOf(*one.pool, *one.arm); });
  return scores;
}

bool LearnedRouter::tellsMore(const FreshArm& first, const FreshArm& second) {
  if (first.cold != second.cold) {
    return first.cold;
  }
  return first.measured_at > second.measured_at;
}

wire::RouteScore LearnedRouter::scoreOf(const ModelPool& pool, const Arm& arm) const {
  const base::TimePoint now = dispatcher_.now();
  const RouteStatistics& statistics = arm.statistics;
  wire::RouteScore score;
  score.model = pool.model;
  score.arm = arm.signature;
  score.epoch = pool.epoch;
  score.tokens_per_second = statistics.mean().tokens_per_second;
  score.seconds_per_prefill_token = statistics.mean().seconds_per_prefill_token;
  score.seconds_per_output_token = statistics.mean().seconds_per_output_token;
  score.mass = statistics.mass(now, tuning_.route_stats_half_life_s);
  score.age_ms = static_cast<std::uint32_t>(base::toMilliseconds(now - statistics.measuredAt()));
  return score;
}

void LearnedRouter::importScores(const std::vector<wire::RouteScore>& scores) {
  const base::TimePoint now = dispatcher_.now();
  for (const wire::RouteScore& score : scores) {
    for (auto& [key, pool] : pools_) {
      if (key.model == score.model) {
        importScore(pool, score, now);
      }
    }
  }
}

void LearnedRouter::importScore(ModelPool& pool, const wire::RouteScore& score,
                                base::TimePoint now) {
  Arm* arm = pool.index.findSignature(score.arm);
  const base::Duration age = std::chrono::milliseconds(score.age_ms);
  const bool of_this_epoch = now - age >= pool.epoch_start;
  if (arm == nullptr || !of_this_epoch) {
    return;
  }
  SpeedSample mean;
  mean.tokens_per_second = score.tokens_per_second;
  mean.seconds_per_prefill_token = score.seconds_per_prefill_token;
  mean.seconds_per_output_token = score.seconds_per_output_token;
  arm->statistics.merge(mean, score.mass, age, now, tuning_.route_stats_half_life_s);
  arm->prefill->cold.samples = std::max(arm->prefill->cold.samples, score.mass);
}

}  // namespace switchsaddle::routing
