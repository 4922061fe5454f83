#pragma once

#include <functional>
#include <memory>

#include "switchsaddle/base/time.h"

namespace switchsaddle::base {

/**
 * A one-shot timer. The callback runs on the dispatcher's strand. Destroying or disabling the timer
 * guarantees that the callback does not run afterwards.
 */
class Timer {
 public:
  virtual ~Timer() = default;
  /** Arms the timer; an armed timer is moved to the new delay. */
  virtual void enable(Duration delay) = 0;
  virtual void disable() = 0;
  virtual bool enabled() const = 0;
};

using TimerPtr = std::unique_ptr<Timer>;

/**
 * The strand a state machine runs on, with its clock. Real processes implement it on Boost.Asio,
 * the simulation on its event queue. All methods except post() must be called on the strand itself.
 */
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  virtual TimePoint now() const = 0;
  /** Creates a disabled timer. */
  virtual TimerPtr createTimer(std::function<void()> callback) = 0;
  /** Runs the callback on the strand after the current one returns. Callable from any thread. */
  virtual void post(std::function<void()> callback) = 0;
};

}  // namespace switchsaddle::base
