#pragma once

#include <chrono>

namespace switchsaddle::base {

/**
 * The machine's boot clock (CLOCK_BOOTTIME): monotonic, and advancing while the machine is
 * suspended. Time points of different machines are not comparable, so messages contain only
 * durations.
 */
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

/** @return the duration in milliseconds, rounded towards zero. */
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace switchsaddle::base
