#pragma once

#include <algorithm>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * The prefill backlog of one front at one worker: the seconds that the worker is expected to need
 * for the prompts it has not answered. Prompts are assumed to be prefilled one after the other. A
 * share of the unanswered prompts' time stays in the backlog whatever time has elapsed, since a
 * worker may be slower than expected.
 */
class PrefillQueue {
 public:
  /** Adds a prompt that is expected to take this long. */
  void add(double seconds, base::TimePoint now) {
    drain(now);
    remaining_s_ += seconds;
    unanswered_s_ += seconds;
  }
  /** Removes a prompt that was answered or abandoned. */
  void remove(double seconds, base::TimePoint now) {
    drain(now);
    unanswered_s_ = std::max(0.0, unanswered_s_ - seconds);
    remaining_s_ = std::min(remaining_s_, unanswered_s_);
  }
  double remainingSeconds(base::TimePoint now) const {
    const double elapsed_s = std::chrono::duration<double>(now - drained_at_).count();
    return std::max(remaining_s_ - elapsed_s, unanswered_s_ * MinimumRemainingShare);
  }

 private:
  static constexpr double MinimumRemainingShare = 0.25;

  void drain(base::TimePoint now) {
    remaining_s_ = remainingSeconds(now);
    drained_at_ = now;
  }

  /** Backlog at `drained_at_`. */
  double remaining_s_ = 0;
  double unanswered_s_ = 0;
  base::TimePoint drained_at_{};
};

}  // namespace switchsaddle::routing
