#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"

namespace switchsaddle::simulation {

/**
 * A seeded, single-threaded event queue with its own clock. Worlds with the same seed and scenario
 * run the same events in the same order.
 */
class World {
 public:
  explicit World(std::uint64_t seed);
  base::TimePoint now() const { return now_; }
  base::RandomSource& random() { return random_; }
  /** Runs the callback after `delay`. Events with the same time run in the order of scheduling. */
  void schedule(base::Duration delay, std::function<void()> callback);
  /** Runs the next event.
   *
   * @return false if there is none. */
  bool step();
  /** Runs all events of the next `duration`. */
  void runFor(base::Duration duration);
  /** Runs until the condition holds.
   *
   * @return false if `limit` passed before. */
  bool runUntil(const std::function<bool()>& condition, base::Duration limit);
  std::uint64_t eventsRun() const { return events_run_; }

 private:
  struct Event {
    base::TimePoint at;
    std::uint64_t order;
    std::function<void()> callback;
  };
  /** Orders the queue by time, then by order of scheduling. */
  struct Later {
    bool operator()(const Event& first, const Event& second) const {
      return first.at != second.at ? first.at > second.at : first.order > second.order;
    }
  };

  base::TimePoint now_{};
  std::uint64_t next_order_ = 0;
  std::uint64_t events_run_ = 0;
  base::RandomSource random_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace switchsaddle::simulation
