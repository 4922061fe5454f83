#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::lease {

/** Time limits of leases. A holder may use shorter ones than its granters, which grant each lease
 * for the requested duration; the granters' own duration must be the longest in use. */
struct LeaseTimes {
  /** Counted by granters from receipt of the request and by the holder from its sending. */
  base::Duration duration = std::chrono::milliseconds(2'000);
  /** Fraction of the duration by which the holder stops early, since clocks run at different
   * speeds.
   */
  double drift_margin = 0.1;
  /** Time-out of a campaign or renewal. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** Longest random pause before a campaign, so that rivals seldom campaign at the same time. */
  base::Duration maximum_back_off = std::chrono::milliseconds(300);
};

}  // namespace switchsaddle::lease
