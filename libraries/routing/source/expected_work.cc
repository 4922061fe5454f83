#include <algorithm>

#include "switchsaddle/routing/learned_router.h"
#include "switchsaddle/routing/placement_cost.h"

namespace switchsaddle::routing {

namespace {

/** Placements that cost this much more than the cheapest are drawn from as well: estimates tell
 * them no better apart. In tokens of shared parts read again. */
constexpr double NearEqual = 60;
/** What learning an arm that is not proven may cost more. */
constexpr double ScoutAllowance = 400;
/** An idle connection is believed to be open for so long. */
constexpr base::Duration ConnectionKept = std::chrono::seconds(5);
/** Part of a shared prompt that the next worker in the order of its homes is believed to hold. */
constexpr double NextHomeHolds = 0.5;
/** First tokens tell the pool's rate only where little was to be read before. */
constexpr double MostQueueOfSample = 0.05;

double seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double LearnedRouter::queueSeconds(const Arm& arm, base::TimePoint now) const {
  const WorkerRecord& worker = *arm.prefill;
  return worker.prefill.left(now) + peer_load_.of(worker.load_key, now).prefill_s;
}

double LearnedRouter::prefillSeconds(const ModelPool& pool, const Arm& arm,
                                     std::uint32_t tokens) const {
  const double own = arm.statistics.mean().seconds_per_prefill_token;
  const double mean = pool.seconds_per_prefill_token;
  const bool slow = mean > 0 && own > mean * UnhealthyRatio;
  return tokens * pool.first_token.secondsPerToken() * (slow ? own / mean : 1.0);
}

double LearnedRouter::slotWaitSeconds(const Arm& arm, const Prompt& prompt,
                                      base::TimePoint now) const {
  const WorkerRecord& worker = *arm.prefill;
  const double under_way = worker.cold.in_flight + peer_load_.of(worker.load_key, now).requests;
  const double slots = std::max(1U, worker.slots);
  const double waiting = std::max(0.0, under_way + 1 - slots);
  const double measured = arm.statistics.mean().seconds_per_output_token;
  const double token_s =
      measured > 0 ? measured : options_.unmeasured_prior.seconds_per_output_token;
  return waiting / slots * token_s * prompt.maximum_tokens;
}

double LearnedRouter::costOf(const ModelPool& pool, const Prompt& prompt,
                             const PrefixChains& chains, Candidate& candidate) const {
  const base::TimePoint now = dispatcher_.now();
  const WorkerRecord& worker = *candidate.arm->prefill;
  const std::uint32_t cached = std::min(candidate.cached_tokens, prompt.prompt_tokens);
  const double queue_s = queueSeconds(*candidate.arm, now);
  const double backlog_s =
      queue_s + prefillSeconds(pool, *candidate.arm, prompt.prompt_tokens - cached);
  candidate.first_token_s =
      pool.first_token.baseSeconds() + backlog_s + slotWaitSeconds(*candidate.arm, prompt, now);
  const double mean_tokens = lanes_.meanTokens(prompt.kind);
  const double shared = chains.sharedTokens();
  const double held = std::max<double>(cached, candidate.next_home ? shared * NextHomeHolds : 0);
  ExpectedPlacement expected;
  expected.first_token_s = candidate.first_token_s;
  expected.backlog_s = backlog_s;
  expected.queue_s = queue_s;
  expected.streams = worker.cold.in_flight + peer_load_.of(worker.load_key, now).requests;
  expected.gap_goal_s = seconds(prompt.event_gap_goal);
  expected.goal_s = seconds(prompt.first_token_goal);
  expected.size = mean_tokens > 0 ? prompt.prompt_tokens / mean_tokens : 1;
  expected.read_again = std::max(0.0, shared - held);
  expected.connects = !worker.last_ended || now - *worker.last_ended > ConnectionKept;
  return placementCost(expected);
}

void LearnedRouter::rankByCost(const ModelPool& pool, const Prompt& prompt,
                               const PrefixChains& chains, std::size_t limit) {
  for (Candidate& candidate : candidates_) {
    candidate.cost = costOf(pool, prompt, chains, candidate);
  }
  std::stable_sort(
      candidates_.begin(), candidates_.end(),
      [](const Candidate& first, const Candidate& second) { return first.cost < second.cost; });
  if (candidates_.size() > limit) {
    candidates_.resize(limit);
  }
}

void LearnedRouter::dropDearer() {
  const double best = candidates_.front().cost;
  const base::TimePoint now = dispatcher_.now();
  std::erase_if(candidates_, [this, best, now](const Candidate& candidate) {
    const bool measured =
        candidate.arm->statistics.mass(now, tuning_.route_stats_half_life_s) >= ProvenMass;
    return candidate.cost > best + (measured ? NearEqual : ScoutAllowance);
  });
}

void LearnedRouter::noteAnswered(InFlight& in_flight) {
  if (in_flight.answered) {
    return;
  }
  in_flight.answered = true;
  in_flight.arm->prefill->prefill.remove(in_flight.prefill_s, dispatcher_.now());
}

void LearnedRouter::noteFirstToken(std::uint64_t ticket) {
  const auto found = in_flight_.find(ticket);
  if (found == in_flight_.end() || found->second.answered) {
    return;
  }
  InFlight& in_flight = found->second;
  noteAnswered(in_flight);
  if (in_flight.queue_s <= MostQueueOfSample) {
    const double first_token_s = seconds(dispatcher_.now() - in_flight.placed_at);
    in_flight.pool->first_token.add(in_flight.uncached_tokens, first_token_s - in_flight.queue_s);
  }
}

wire::FrontLoad LearnedRouter::exportLoads() const {
  constexpr double MsPerSecond = 1e3;
  constexpr double MostMs = 60'000;
  const base::TimePoint now = dispatcher_.now();
  wire::FrontLoad load;
  load.kinds = lanes_.kinds();
  for (const auto& [id, record] : workers_) {
    const std::uint32_t requests = record->cold.in_flight;
    if (requests == 0) {
      continue;
    }
    const double prefill_ms = std::min(MostMs, record->prefill.left(now) * MsPerSecond);
    load.workers.push_back({record->load_key, static_cast<std::uint16_t>(requests),
                            static_cast<std::uint16_t>(prefill_ms)});
  }
  return load;
}

void LearnedRouter::importLoads(const wire::FleetLoad& loads) {
  peer_load_.set(loads, dispatcher_.now());
  if (loads.known) {
    lanes_.setFleet(loads.kinds, dispatcher_.now());
  }
}

}  // namespace switchsaddle::routing
