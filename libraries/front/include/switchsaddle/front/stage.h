#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace switchsaddle::front {

/** A queue that refuses items beyond its bound. One strand. */
template <class Item>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t bound) : bound_(bound) {}
  /** False where the queue is full; the item is not taken. */
  bool push(Item item) {
    if (items_.size() >= bound_) {
      return false;
    }
    items_.push_back(std::move(item));
    return true;
  }
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

/** Held by a task while it occupies its stage; the last copy's end lets the next task begin. */
using StageTicket = std::shared_ptr<void>;

/**
 * One stage of request handling: runs up to `concurrency` tasks and queues up to `queue_bound`
 * more. Runs on one strand. Tickets may outlive the stage.
 */
class Stage {
 public:
  using Task = std::function<void(StageTicket)>;

  Stage(std::size_t concurrency, std::size_t queue_bound);
  /** False where the queue is full: the task will never run, and the request is refused at once. */
  bool submit(Task task);
  std::size_t running() const;
  std::size_t queued() const;

 private:
  struct State {
    explicit State(std::size_t bound) : queue(bound) {}
    BoundedQueue<Task> queue;
    std::size_t concurrency = 0;
    std::size_t running = 0;
    bool draining = false;
  };

  static void runNext(const std::shared_ptr<State>& state);
  static StageTicket makeTicket(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace switchsaddle::front
