#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::lease {

/** Time limits of leases. Granters grant each lease for the duration that its holder requests.
 * Their own duration must be the longest that any holder uses. */
struct LeaseTimes {
  /** Granters measure it from the receipt of the request, the holder from sending it. */
  base::Duration duration = std::chrono::milliseconds(2'000);
  /** Fraction of the duration by which the holder's use ends early, since clocks run at different
   * speeds. */
  double drift_margin = 0.1;
  /** Timeout of a campaign or renewal. */
  base::Duration call_timeout = std::chrono::milliseconds(400);
  /** Longest random pause before a campaign, so that rivals rarely campaign at the same time. */
  base::Duration maximum_back_off = std::chrono::milliseconds(300);
};

}  // namespace switchsaddle::lease
