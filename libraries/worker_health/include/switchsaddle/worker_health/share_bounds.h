#pragma once

namespace switchsaddle::worker_health {

/** Bounds of a share that was counted. */
struct ShareBounds {
  double low = 0;
  double high = 1;
};

/** Standard deviations that the bounds lie apart from the share: 95 in 100 on either side. */
inline constexpr double OneSided95 = 1.645;

/**
 * Wilson's score interval of `bad` out of `counted`, which need not be whole numbers. With nothing
 * counted it is 0 to 1.
 */
ShareBounds shareBounds(double bad, double counted, double deviations = OneSided95);

}  // namespace switchsaddle::worker_health
