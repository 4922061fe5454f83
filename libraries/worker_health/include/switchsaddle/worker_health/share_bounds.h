#pragma once

namespace switchsaddle::worker_health {

/** Confidence bounds of a share. */
struct ShareBounds {
  double low = 0;
  double high = 1;
};

/** Number of standard deviations for a one-sided confidence of 95 %. */
inline constexpr double OneSided95 = 1.645;

/**
 * Wilson score interval of `bad` out of `counted`, which need not be integers.
 *
 * @return the interval; [0, 1] if `counted` is zero.
 */
ShareBounds shareBounds(double bad, double counted, double deviations = OneSided95);

}  // namespace switchsaddle::worker_health
