#include "switchsaddle/simulation/process.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::simulation {

namespace {

/** A timer whose armings are numbered, so that events of earlier armings are ignored. */
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
                  [this, incarnation = incarnation_, callback = std::move(callback)]() mutable {
                    run(incarnation, std::move(callback));
                  });
}

void Process::run(std::uint64_t incarnation, std::function<void()> callback) {
  if (!running_ || incarnation != incarnation_) {
    return;
  }
  if (frozen_) {
    frozen_callbacks_.push_back(std::move(callback));
    return;
  }
  if (busy() || !backlog_.empty()) {
    backlog_.push_back(std::move(callback));
    if (backlog_.size() == 1) {
      scheduleBacklog();
    }
    return;
  }
  callback();
}

void Process::spend(base::Duration duration) {
  busy_until_ = std::max(busy_until_, now()) + duration;
}

void Process::scheduleBacklog() {
  world_.schedule(std::max(base::Duration::zero(), busy_until_ - now()),
                  [this, incarnation = incarnation_] {
                    if (running_ && incarnation == incarnation_) {
                      runBacklog();
                    }
                  });
}

void Process::runBacklog() {
  while (!backlog_.empty() && !busy() && !frozen_) {
    const std::function<void()> callback = std::move(backlog_.front());
    backlog_.pop_front();
    callback();
  }
  if (!backlog_.empty() && !frozen_) {
    scheduleBacklog();
  }
}

void Process::start() {
  running_ = true;
  frozen_ = false;
  ++incarnation_;
}

void Process::kill() {
  running_ = false;
  frozen_ = false;
  ++incarnation_;
  frozen_callbacks_.clear();
  backlog_.clear();
  busy_until_ = {};
}

void Process::wake() {
  frozen_ = false;
  if (!backlog_.empty()) {
    scheduleBacklog();
  }
  for (std::function<void()>& callback : frozen_callbacks_) {
    post(std::move(callback));
  }
  frozen_callbacks_.clear();
}

}  // namespace switchsaddle::simulation
