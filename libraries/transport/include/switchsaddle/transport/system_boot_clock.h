#pragma once

#include <chrono>

#include "switchsaddle/base/time.h"

namespace switchsaddle::transport {

/** The operating system's boot clock with the interface that Asio's timers require. */
struct SystemBootClock {
  using duration = base::Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = base::TimePoint;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/**
 * Wait traits of Asio's timers. Asio waits on a clock that stops while the machine is suspended, so
 * each wait is limited: a timer that expires during suspension fires at most MaximumWait after the
 * machine resumes.
 */
struct BootWaitTraits {
  static constexpr base::Duration MaximumWait = std::chrono::milliseconds(200);

  static base::Duration to_wait_duration(const base::Duration& duration) {
    return duration < MaximumWait ? duration : MaximumWait;
  }
  static base::Duration to_wait_duration(const base::TimePoint& time) {
    return to_wait_duration(time - SystemBootClock::now());
  }
};

}  // namespace switchsaddle::transport
