#include "switchsaddle/routing/placement_cost.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** A late prompt of mean size weighs as much as so many shared tokens read again. */
constexpr double LateTokens = 4'000;
/** The part of it that does not grow with the prompt, and the largest size that counts. */
constexpr double FixedPart = 0.3;
constexpr double LargestSize = 4;
constexpr double ConnectionTokens = 100;
/** A second earlier is worth this much even where both would be in time: it leaves room for what is
 * not known. */
constexpr double TokensPerSecond = 1'000;
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

double placementCost(const ExpectedPlacement& expected) {
  const double size = FixedPart + (1 - FixedPart) * std::min(expected.size, LargestSize);
  return lateness(expected.first_token_s, expected.goal_s) * LateTokens * size +
         expected.read_again + (expected.connects ? ConnectionTokens : 0) +
         expected.first_token_s * TokensPerSecond;
}

}  // namespace switchsaddle::routing
