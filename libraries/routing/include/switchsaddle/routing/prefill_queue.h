#pragma once

#include <algorithm>

#include "switchsaddle/base/time.h"

namespace switchsaddle::routing {

/**
 * The prompts that one front has sent to a worker and that it has not answered, as time that the
 * worker is expected to read them still. It is taken to read one after the other; a part of what is
 * not answered counts however long it has taken, since a worker may be slower than expected.
 */
class PrefillQueue {
 public:
  /** A prompt that takes so many seconds to read was sent. */
  void add(double seconds, base::TimePoint now) {
    drain(now);
    left_s_ += seconds;
    unanswered_s_ += seconds;
  }
  /** Its first token came, or it was given up. */
  void remove(double seconds, base::TimePoint now) {
    drain(now);
    unanswered_s_ = std::max(0.0, unanswered_s_ - seconds);
    left_s_ = std::min(left_s_, unanswered_s_);
  }
  /** Seconds of reading left. */
  double left(base::TimePoint now) const {
    const double elapsed_s = std::chrono::duration<double>(now - drained_at_).count();
    return std::max(left_s_ - elapsed_s, unanswered_s_ * MinimumRemainingShare);
  }

 private:
  static constexpr double MinimumRemainingShare = 0.25;

  void drain(base::TimePoint now) {
    left_s_ = left(now);
    drained_at_ = now;
  }

  double left_s_ = 0;
  double unanswered_s_ = 0;
  base::TimePoint drained_at_{};
};

}  // namespace switchsaddle::routing
