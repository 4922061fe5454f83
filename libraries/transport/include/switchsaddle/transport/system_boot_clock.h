#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::transport {

/** base::BootClock read from the operating system, in the form Asio's timers ask for. */
struct SystemBootClock {
  using duration = base::Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = base::TimePoint;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/**
 * How long Asio may sleep before it looks at the clock again. Its own sleep stands still while the
 * machine is suspended, so it is bounded: a timer that came due meanwhile fires this much after the
 * machine wakes, at the latest.
 */
struct BootWaitTraits {
  static constexpr base::Duration LongestSleep = std::chrono::milliseconds(200);

  static base::Duration to_wait_duration(const base::Duration& duration) {
    return duration < LongestSleep ? duration : LongestSleep;
  }
  static base::Duration to_wait_duration(const base::TimePoint& time) {
    return to_wait_duration(time - SystemBootClock::now());
  }
};

}  // namespace switchsaddle::transport
