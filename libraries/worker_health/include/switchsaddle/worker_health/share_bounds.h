#pragma once

namespace switchsaddle::worker_health {

/** Confidence bounds of a share. */
struct ShareBounds {
  double low = 0;
  double high = 1;
};

/** Standard deviations of a one-sided confidence of 95 %. */
inline constexpr double OneSided95 = 1.645;

/**
 * Wilson's score interval of `bad` out of `counted`, which need not be integers.
 *
 * @return 0 to 1 if nothing was counted.
 */
ShareBounds shareBounds(double bad, double counted, double deviations = OneSided95);

}  // namespace switchsaddle::worker_health
