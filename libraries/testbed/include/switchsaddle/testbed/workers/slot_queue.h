#pragma once

#include <cstdint>
#include <functional>
#include <list>

namespace switchsaddle::testbed {

/**
 * A fixed number of slots with a bounded first-in first-out queue. The callback of a queued request
 * runs within the release() that frees its slot. Not thread-safe.
 */
class SlotQueue {
 public:
  using Ticket = std::uint64_t;
  /** Returned by acquire() if the queue is full. */
  static constexpr Ticket Refused = 0;

  SlotQueue(std::uint32_t slots, std::uint32_t queue_bound)
      : slots_(slots), queue_bound_(queue_bound) {}
  /** Calls `started` if a slot is free, else queues it; returns Refused if the queue is full.
   */
  Ticket acquire(std::function<void()> started);
  /** Releases the slot of a request that has started. */
  void release();
  /** Removes a queued request; returns false if it has started or is unknown. */
  bool cancel(Ticket ticket);
  std::uint32_t running() const { return running_; }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(waiting_.size()); }
  std::uint32_t slots() const { return slots_; }

 private:
  struct Waiter {
    Ticket ticket = 0;
    std::function<void()> started;
  };
  std::uint32_t slots_;
  std::uint32_t queue_bound_;
  std::uint32_t running_ = 0;
  Ticket last_ticket_ = 0;
  std::list<Waiter> waiting_;
};

}  // namespace switchsaddle::testbed
