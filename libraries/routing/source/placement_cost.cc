#include "switchsaddle/routing/placement_cost.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** A late prompt of mean size weighs as much as so many shared tokens read again. */
constexpr double LateTokens = 4'000;
/** The part of it that does not grow with the prompt, and the largest size that counts. */
constexpr double FixedShare = 0.3;
constexpr double LargestSize = 4;
constexpr double ConnectionTokens = 100;
/** A second earlier is worth this much even where both would be in time: it leaves room for what is
 * not known. */
constexpr double TokensPerSecond = 1'000;
/** A backlog makes those late that come after; this much at one goal beyond what they bear. */
constexpr double CongestionTokens = 3'000;
constexpr double BearableBacklog = 0.5;
/** A stream that pauses for too long weighs as a late prompt; so many count. */
constexpr double MostStreams = 8;
/** From this part of the longest pause on, reading without a break may stall the streams beside it.
 */
constexpr double MayStallFrom = 0.8;
constexpr double SurelyStallsFrom = 1.3;
/** Expected times are uncertain: from this part of the goal on a prompt may be late, and at this
 * much beyond the goal it surely is. */
constexpr double MayBeLateFrom = 0.5;
constexpr double SurelyLateFrom = 1.1;

}  // namespace

double lateness(double first_token_s, double goal_s) {
  const double part = goal_s > 0 ? first_token_s / goal_s : 0;
  const double risk =
      std::clamp((part - MayBeLateFrom) / (SurelyLateFrom - MayBeLateFrom), 0.0, 1.0);
  return risk * risk;
}

namespace {

double congestion(double backlog_s, double goal_s) {
  const double part = goal_s > 0 ? backlog_s / goal_s : 0;
  const double beyond = std::max(0.0, part - BearableBacklog);
  return beyond * beyond * CongestionTokens;
}

/** How sure it is that streams stall beside so many seconds of reading. */
double stallRisk(double reading_s, double gap_goal_s) {
  const double part = gap_goal_s > 0 ? reading_s / gap_goal_s : 0;
  return std::clamp((part - MayStallFrom) / (SurelyStallsFrom - MayStallFrom), 0.0, 1.0);
}

/** What the streams beside the prompt lose by it, beyond what they lose already. */
double stalledBeside(const ExpectedPlacement& expected) {
  const double before = stallRisk(expected.queue_s, expected.gap_goal_s);
  const double after = stallRisk(expected.backlog_s, expected.gap_goal_s);
  return (after - before) * std::min(expected.streams, MostStreams) * LateTokens;
}

}  // namespace

double placementCost(const ExpectedPlacement& expected) {
  const double size = FixedShare + (1 - FixedShare) * std::min(expected.size, LargestSize);
  return lateness(expected.first_token_s, expected.goal_s) * LateTokens * size +
         congestion(expected.backlog_s, expected.goal_s) + stalledBeside(expected) +
         expected.read_again + (expected.connects ? ConnectionTokens : 0) +
         expected.first_token_s * TokensPerSecond;
}

}  // namespace switchsaddle::routing
