#include "switchsaddle/worker_health/share_bounds.h"

#include <algorithm>
#include <cmath>

namespace switchsaddle::worker_health {

ShareBounds shareBounds(double bad, double counted, double deviations) {
  if (counted <= 0) {
    return {};
  }
  const double share = std::clamp(bad / counted, 0.0, 1.0);
  const double square = deviations * deviations;
  const double centre = share + square / (2 * counted);
  const double spread =
      deviations * std::sqrt(share * (1 - share) / counted + square / (4 * counted * counted));
  const double scale = 1 + square / counted;
  return {std::max(0.0, (centre - spread) / scale), std::min(1.0, (centre + spread) / scale)};
}

}  // namespace switchsaddle::worker_health
