#pragma once

#include <memory>
#include <string>

#include "switchsaddle/http/server.h"
#include "workers/worker_state.h"

namespace switchsaddle::testbed {

/**
 * One one-shot request. Its effect takes place at "start", and it continues after the client
 * disconnects, as a payment would.
 */
class OneShotRun : public PendingRequest, public std::enable_shared_from_this<OneShotRun> {
 public:
  OneShotRun(WorkerState& worker, RequestIdentity identity, http::ResponseWriterPtr writer);
  void start();

 private:
  void onSlotAcquired();
  void onServiceTimeElapsed();
  void answer();

  WorkerState& worker_;
  RequestIdentity identity_;
  http::ResponseWriterPtr writer_;
  base::TimerPtr service_timer_;
  base::TimerPtr answer_timer_;
  SlotQueue::Ticket ticket_ = SlotQueue::Refused;
  std::string run_;
};

}  // namespace switchsaddle::testbed
