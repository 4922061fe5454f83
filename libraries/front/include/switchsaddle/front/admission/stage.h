#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace switchsaddle::front {

/** A FIFO queue that rejects items beyond its bound. Used on one strand. */
template <class Item>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t bound) : bound_(bound) {}
  /** @return whether the item was added; false if the queue is full. */
  bool push(Item item) {
    if (items_.size() >= bound_) {
      return false;
    }
    items_.push_back(std::move(item));
    return true;
  }
  /** @return the oldest item, or std::nullopt if the queue is empty. */
  std::optional<Item> pop() {
    if (items_.empty()) {
      return std::nullopt;
    }
    Item item = std::move(items_.front());
    items_.pop_front();
    return item;
  }
  std::size_t size() const { return items_.size(); }

 private:
  std::size_t bound_;
  std::deque<Item> items_;
};

/** Owned by a task while it occupies its stage; when its last copy is destroyed, the next queued
 * task begins. */
using StageTicket = std::shared_ptr<void>;

/**
 * One stage of request handling, with limits of concurrency and of its queue. Runs on one strand.
 * Tickets may outlive the stage.
 */
class Stage {
 public:
  using Task = std::function<void(StageTicket)>;

  /**
   * @param concurrency limit of running tasks.
   * @param queue_bound limit of queued tasks.
   */
  Stage(std::size_t concurrency, std::size_t queue_bound);
  /** Runs or queues the task.
   * @return whether it was accepted; false if the queue is full: it will never run. */
  bool submit(Task task);
  std::size_t running() const;
  std::size_t queued() const;

 private:
  struct State {
    explicit State(std::size_t bound) : queue(bound) {}
    BoundedQueue<Task> queue;
    std::size_t concurrency = 0;
    std::size_t running = 0;
    /** runNext() is on the stack. */
    bool running_next = false;
  };

  static void runNext(const std::shared_ptr<State>& state);
  static StageTicket makeTicket(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace switchsaddle::front
