#include "switchsaddle/routing/placement_cost.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** Cost of a late prompt of mean size, and of a stalled stream, in tokens. */
constexpr double LateTokens = 4'000;
/** Share of the cost of lateness that does not depend on the prompt's size, and the relative size
 * above which the cost does not grow further. */
constexpr double FixedShare = 0.3;
constexpr double MaximumRelativeSize = 4;
constexpr double ConnectionTokens = 100;
/** Cost of a second of latency, also within the target, to keep a margin for unknown load. */
constexpr double TokensPerSecond = 1'000;
/** Cost of a backlog that exceeds the acceptable backlog by the latency target, and the acceptable
 * backlog as a multiple of the target. A backlog costs since it delays later prompts. */
constexpr double CongestionTokens = 3'000;
constexpr double AcceptableBacklog = 0.5;
/** Maximum number of stalled streams of a worker that add to the cost. */
constexpr double MaximumStreams = 8;
/** Uninterrupted prefill stalls the worker's streams possibly from the first multiple of the gap
 * target on, and certainly from the second. */
constexpr double StallRiskFrom = 0.8;
constexpr double CertainStallFrom = 1.3;
/** Estimates are uncertain: a prompt may be late from the first multiple of the target on, and
 * certainly is from the second. */
constexpr double LateRiskFrom = 0.5;
constexpr double CertainlyLateFrom = 1.1;

double ratioTo(double goal_s, double seconds) {
  return goal_s > 0 ? seconds / goal_s : 0;
}

double congestionCost(double backlog_s, double goal_s) {
  const double excess = std::max(0.0, ratioTo(goal_s, backlog_s) - AcceptableBacklog);
  return excess * excess * CongestionTokens;
}

/** Risk, 0 to 1, that streams stall during this many seconds of prefill. */
double stallRisk(double prefill_s, double gap_goal_s) {
  const double ratio = ratioTo(gap_goal_s, prefill_s);
  return std::clamp((ratio - StallRiskFrom) / (CertainStallFrom - StallRiskFrom), 0.0, 1.0);
}

/** Cost of the stalls that this prompt adds to those expected without it. */
double stallCost(const ExpectedPlacement& expected) {
  const double before = stallRisk(expected.queue_s, expected.gap_goal_s);
  const double after = stallRisk(expected.backlog_s, expected.gap_goal_s);
  return (after - before) * std::min(expected.streams, MaximumStreams) * LateTokens;
}

}  // namespace

double lateness(double first_token_s, double goal_s) {
  const double ratio = ratioTo(goal_s, first_token_s);
  const double risk =
      std::clamp((ratio - LateRiskFrom) / (CertainlyLateFrom - LateRiskFrom), 0.0, 1.0);
  return risk * risk;
}

double placementCost(const ExpectedPlacement& expected) {
  const double size =
      FixedShare + (1 - FixedShare) * std::min(expected.relative_size, MaximumRelativeSize);
  return lateness(expected.first_token_s, expected.goal_s) * LateTokens * size +
         congestionCost(expected.backlog_s, expected.goal_s) + stallCost(expected) +
         expected.cache_miss_tokens + (expected.opens_connection ? ConnectionTokens : 0) +
         expected.first_token_s * TokensPerSecond;
}

}  // namespace switchsaddle::routing
