#include "switchsaddle/simulation/world.h"

#include <utility>

namespace switchsaddle::simulation {

World::World(std::uint64_t seed) : random_(seed) {}

void World::schedule(base::Duration delay, std::function<void()> callback) {
  events_.push(Event{now_ + delay, next_order_++, std::move(callback)});
}

bool World::step() {
  if (events_.empty()) {
    return false;
  }
  Event event = std::move(const_cast<Event&>(events_.top()));
  events_.pop();
  now_ = event.at;
  ++events_run_;
  event.callback();
  return true;
}

void World::runFor(base::Duration duration) {
  const base::TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    step();
  }
  now_ = end;
}

bool World::runUntil(const std::function<bool()>& condition, base::Duration limit) {
  const base::TimePoint end = now_ + limit;
  while (!condition()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return condition();
    }
    step();
  }
  return true;
}

}  // namespace switchsaddle::simulation
