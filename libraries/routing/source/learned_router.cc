#include "switchsaddle/routing/learned_router.h"

#include <algorithm>
#include <utility>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/routing/routing_table.h"

namespace switchsaddle::routing {

namespace {

base::Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
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
    : self_(std::move(self)),
      context_{dispatcher, random, options},
      registry_(context_),
      affinity_(context_),
      scouts_(context_, base::hashBytes(self_.toString())),
      collector_(context_, affinity_, scouts_),
      estimator_(context_),
      ranking_(context_, estimator_, scouts_),
      tracker_(context_, registry_, affinity_, estimator_),
      scores_(context_, registry_.pools()) {}

void LearnedRouter::setConfiguration(std::shared_ptr<const configuration::View> view) {
  context_.tuning = view->tuning;
  registry_.setConfiguration(std::move(view));
}

void LearnedRouter::setWorkers(workers::WorkerSnapshotPtr snapshot) {
  registry_.setWorkers(std::move(snapshot));
}

void LearnedRouter::setFronts(const std::vector<base::NodeAddress>& fronts) {
  context_.slow_start_limiter.setFronts(self_, fronts);
  context_.fronts = std::max<std::size_t>(1, fronts.size());
}

std::uint64_t LearnedRouter::epochOf(const std::string& model) const {
  return registry_.epochOf(model);
}

std::optional<Placement> LearnedRouter::choose(const Prompt& prompt,
                                               const configuration::Route& route,
                                               const std::vector<std::string>& excluded) {
  ModelPool* pool = registry_.find(route.pool, prompt.model);
  if (pool == nullptr) {
    return std::nullopt;
  }
  const PrefixChains chains(prompt);
  collector_.collect(*pool, prompt, chains, excluded, candidates_);
  ranking_.rank(*pool, prompt, chains, candidates_.candidates());
  ranking_.filter(candidates_.candidates());
  if (candidates_.empty()) {
    return std::nullopt;
  }
  const Selection selection = select(*pool, prompt);
  const Candidate& chosen = candidates_.candidates()[selection.index];
  const Placement placement = makePlacement(*pool, prompt, chosen, selection.mode);
  tracker_.begin(*pool, prompt, chains, placement, *chosen.arm);
  return placement;
}

Selection LearnedRouter::select(const ModelPool& pool, const Prompt& prompt) {
  selection_.clear();
  for (const Candidate& candidate : candidates_.candidates()) {
    const Arm& arm = *candidate.arm;
    SelectionCandidate row;
    row.proven = context_.statusOf(pool, arm) == ArmStatus::Proven;
    row.mass = context_.massOf(arm);
    row.prior = -candidate.first_token_s;
    row.tokens_per_second = drawSpeed(candidate, prompt);
    row.may_scout = scouts_.isAdmitted(arm);
    row.scout_due = scouts_.isDue(arm);
    selection_.push_back(row);
  }
  return selectArm(selection_, context_.tuning.route_explore_share,
                   context_.tuning.route_weight_alpha, context_.random);
}

double LearnedRouter::drawSpeed(const Candidate& candidate, const Prompt& prompt) const {
  const SpeedSample& mean = candidate.arm->statistics.mean();
  const bool has_rates = mean.seconds_per_output_token > 0;
  if (!context_.options.score_hygiene || !has_rates) {
    return mean.tokens_per_second;
  }
  const double tokens = std::max(1U, prompt.maximum_tokens);
  return tokens / (candidate.first_token_s + tokens * mean.seconds_per_output_token);
}

Placement LearnedRouter::makePlacement(const ModelPool& pool, const Prompt& prompt,
                                       const Candidate& chosen, SelectionMode mode) {
  Placement placement;
  placement.mode = mode;
  placement.arm = chosen.arm->signature;
  placement.prefill = chosen.arm->prefill->worker;
  if (chosen.arm->decode) {
    placement.decode = chosen.arm->decode->worker;
  }
  placement.first_token_estimate = fromSeconds(chosen.first_token_s);
  placement.cached_tokens = std::min(chosen.cached_tokens, prompt.prompt_tokens);
  const std::uint32_t uncached_tokens = prompt.prompt_tokens - placement.cached_tokens;
  placement.prefill_estimate =
      fromSeconds(uncached_tokens * prefillRate(*chosen.arm, context_.options.unmeasured_prior,
                                                pool.seconds_per_prefill_token));
  placement.ticket = next_ticket_++;
  return placement;
}

void LearnedRouter::recordFirstToken(std::uint64_t ticket) {
  tracker_.onFirstToken(ticket);
}

void LearnedRouter::complete(const Completion& completion) {
  tracker_.complete(completion);
}

wire::FrontLoad LearnedRouter::exportLoads() const {
  constexpr double MsPerSecond = 1e3;
  constexpr double MaximumPrefillMs = 60'000;
  const base::TimePoint now = context_.now();
  wire::FrontLoad load;
  load.kinds = context_.lanes.counts();
  for (const auto& [id, record] : registry_.records().all()) {
    const std::uint32_t requests = record->slow_start.in_flight;
    if (requests == 0) {
      continue;
    }
    const double prefill_ms =
        std::min(MaximumPrefillMs, record->prefill_queue.remainingSeconds(now) * MsPerSecond);
    load.workers.push_back({record->load_key, static_cast<std::uint16_t>(requests),
                            static_cast<std::uint16_t>(prefill_ms)});
  }
  return load;
}

void LearnedRouter::importLoads(const wire::FleetLoad& loads) {
  context_.peer_load.set(loads, context_.now());
  if (loads.known) {
    context_.lanes.setFleetCounts(loads.kinds, context_.now());
  }
}

std::vector<RoutingRow> LearnedRouter::table(const std::string& model) const {
  return buildRoutingTable(context_, registry_.pools(), model);
}

std::vector<wire::RouteScore> LearnedRouter::exportScores() const {
  return scores_.exportScores();
}

void LearnedRouter::importScores(const std::vector<wire::RouteScore>& scores) {
  scores_.importScores(scores);
}

}  // namespace switchsaddle::routing
