#pragma once

#include <functional>
#include <memory>

#include "switchsaddle/base/time.h"

namespace switchsaddle::base {

/**
 * A one-shot timer. The callback runs on the dispatcher's strand. Invariant: the callback does not
 * run after the timer has been destroyed or disabled.
 */
class Timer {
 public:
  virtual ~Timer() = default;
  /** Arms the timer, or re-arms an armed one with the new delay. */
  virtual void enable(Duration delay) = 0;
  virtual void disable() = 0;
  /** @return whether the timer is armed. */
  virtual bool enabled() const = 0;
};

using TimerPtr = std::unique_ptr<Timer>;

/**
 * Event loop and clock of a state machine: a strand on which its callbacks run one at a time.
 * Implemented on Boost.Asio for processes and on an event queue for simulations. All methods but
 * post() must be called on the strand.
 */
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  /** @return the time of base::BootClock, or the simulated time. */
  virtual TimePoint now() const = 0;
  /** Creates a timer, initially disabled. */
  virtual TimerPtr createTimer(std::function<void()> callback) = 0;
  /** Queues the callback on the strand; it never runs within this call. Thread-safe. */
  virtual void post(std::function<void()> callback) = 0;
};

}  // namespace switchsaddle::base
