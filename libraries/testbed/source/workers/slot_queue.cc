#include "switchsaddle/testbed/workers/slot_queue.h"

#include <utility>

namespace switchsaddle::testbed {

SlotQueue::Ticket SlotQueue::acquire(std::function<void()> started) {
  if (running_ < slots_) {
    ++running_;
    const Ticket ticket = ++last_ticket_;
    started();
    return ticket;
  }
  if (waiting_.size() >= queue_bound_) {
    return Refused;
  }
  waiting_.push_back(Waiter{++last_ticket_, std::move(started)});
  return last_ticket_;
}

void SlotQueue::release() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  const Waiter next = std::move(waiting_.front());
  waiting_.pop_front();
  next.started();
}

bool SlotQueue::cancel(Ticket ticket) {
  const auto removed =
      waiting_.remove_if([ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
  return removed > 0;
}

}  // namespace switchsaddle::testbed
