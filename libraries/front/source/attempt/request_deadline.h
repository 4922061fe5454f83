#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "switchsaddle/base/dispatcher.h"

namespace switchsaddle::front {

/**
 * The deadline of one request. Invariant: the callback runs at most once for each
 * start(), and never after stop(). Runs on the control strand.
 */
class RequestDeadline {
 public:
  /** @param on_passed runs when the deadline has passed; may destroy this object's owner. */
  RequestDeadline(base::Dispatcher& dispatcher, std::function<void()> on_passed)
      : dispatcher_(dispatcher), timer_(dispatcher.createTimer(std::move(on_passed))) {}

  /** Sets the deadline to `limit` from now; replaces an earlier one. */
  void start(base::Duration limit) {
    passes_at_ = dispatcher_.now() + limit;
    timer_->enable(limit);
  }
  void stop() { timer_->disable(); }
  /** Time until the deadline; zero once it has passed. */
  base::Duration remaining() const {
    return std::max(base::Duration::zero(), passes_at_ - dispatcher_.now());
  }

 private:
  base::Dispatcher& dispatcher_;
  base::TimePoint passes_at_;
  base::TimerPtr timer_;
};

}  // namespace switchsaddle::front
