#include "switchsaddle/simulation/process.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::simulation {

namespace {

/** A timer whose armings are numbered, so that an event of an earlier arming finds itself outdated.
 */
class SimulatedTimer : public base::Timer {
 public:
  SimulatedTimer(Process& process, std::function<void()> callback)
      : process_(process), state_(std::make_shared<State>()) {
    state_->callback = std::move(callback);
  }
  ~SimulatedTimer() override { ++state_->arming; }

  void enable(base::Duration delay) override {
    state_->enabled = true;
    const std::uint64_t arming = ++state_->arming;
    process_.postAfter(delay, [state = state_, arming] {
      if (state->arming != arming) {
        return;
      }
      state->enabled = false;
      state->callback();
    });
  }
  void disable() override {
    ++state_->arming;
    state_->enabled = false;
  }
  bool enabled() const override { return state_->enabled; }

 private:
  struct State {
    std::function<void()> callback;
    std::uint64_t arming = 0;
    bool enabled = false;
  };

  Process& process_;
  std::shared_ptr<State> state_;
};

}  // namespace

base::TimerPtr Process::createTimer(std::function<void()> callback) {
  return std::make_unique<SimulatedTimer>(*this, std::move(callback));
}

void Process::post(std::function<void()> callback) {
  postAfter(base::Duration::zero(), std::move(callback));
}

void Process::postAfter(base::Duration delay, std::function<void()> callback) {
  world_.schedule(delay,
                  [this, generation = generation_, callback = std::move(callback)]() mutable {
                    run(generation, std::move(callback));
                  });
}

void Process::run(std::uint64_t generation, std::function<void()> callback) {
  if (!running_ || generation != generation_) {
    return;
  }
  if (frozen_) {
    held_.push_back(std::move(callback));
    return;
  }
  if (busy() || !waiting_.empty()) {
    waiting_.push_back(std::move(callback));
    if (waiting_.size() == 1) {
      scheduleWaiting();
    }
    return;
  }
  callback();
}

void Process::spend(base::Duration duration) {
  busy_until_ = std::max(busy_until_, now()) + duration;
}

void Process::scheduleWaiting() {
  world_.schedule(std::max(base::Duration::zero(), busy_until_ - now()),
                  [this, generation = generation_] {
                    if (running_ && generation == generation_) {
                      runWaiting();
                    }
                  });
}

void Process::runWaiting() {
  while (!waiting_.empty() && !busy() && !frozen_) {
    const std::function<void()> callback = std::move(waiting_.front());
    waiting_.pop_front();
    callback();
  }
  if (!waiting_.empty() && !frozen_) {
    scheduleWaiting();
  }
}

void Process::start() {
  running_ = true;
  frozen_ = false;
  ++generation_;
}

void Process::kill() {
  running_ = false;
  frozen_ = false;
  ++generation_;
  held_.clear();
  waiting_.clear();
  busy_until_ = {};
}

void Process::wake() {
  frozen_ = false;
  if (!waiting_.empty()) {
    scheduleWaiting();
  }
  for (std::function<void()>& callback : held_) {
    post(std::move(callback));
  }
  held_.clear();
}

}  // namespace switchsaddle::simulation
