#pragma once

#include <condition_variable>
#include <mutex>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Ends the waits of several threads at once. Thread-safe. */
class Interruption {
 public:
  void raise() {
    const std::lock_guard lock(mutex_);
    raised_ = true;
    condition_.notify_all();
  }
  bool raised() const {
    const std::lock_guard lock(mutex_);
    return raised_;
  }
  /** Waits for the duration. @return false if it was interrupted. */
  bool wait(base::Duration duration) {
    std::unique_lock lock(mutex_);
    return !condition_.wait_for(lock, duration, [this] { return raised_; });
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable condition_;
  bool raised_ = false;
};

}  // namespace switchsaddle::testbed
