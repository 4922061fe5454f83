#pragma once

#include <chrono>

namespace switchsaddle::base {

/**
 * The machine's boot clock (CLOCK_BOOTTIME): monotonic, and it goes on while the machine is
 * suspended. Its time points are never sent to or compared with those of another machine; only
 * durations are.
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

/** Whole milliseconds in a duration, rounded towards zero. */
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace switchsaddle::base
