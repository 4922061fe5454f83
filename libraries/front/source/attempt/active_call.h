#pragma once

#include <utility>

#include "switchsaddle/front/worker_calls/worker_port.h"

namespace switchsaddle::front {

/**
 * The call to a worker of a request's current attempt, if there is one. Invariant: a call is
 * cancelled at most once. Does not cancel on destruction: a call may complete after its request.
 */
class ActiveCall {
 public:
  void set(WorkerCallPtr call) { call_ = std::move(call); }
  /** Cancels the call; its observer is not called afterwards. No effect if there is no call. */
  void cancel() {
    if (call_) {
      std::exchange(call_, nullptr)->cancel();
    }
  }

 private:
  WorkerCallPtr call_;
};

}  // namespace switchsaddle::front
