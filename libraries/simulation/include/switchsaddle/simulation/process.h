#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::simulation {

/**
 * A simulated process: the dispatcher of the state machines that run in it. Killing it drops every
 * callback that has not run; freezing it defers them until it is woken, when all those due run at
 * once, as after SIGSTOP and SIGCONT. A killed process may be started again, with new state
 * machines. spend() models processor time: callbacks that fall due meanwhile wait in order.
 */
class Process : public base::Dispatcher {
 public:
  explicit Process(World& world) : world_(world) {}

  base::TimePoint now() const override { return world_.now(); }
  base::TimerPtr createTimer(std::function<void()> callback) override;
  void post(std::function<void()> callback) override;

  /** Runs the callback on this process after a delay, unless the process is killed before. */
  void postAfter(base::Duration delay, std::function<void()> callback);

  bool running() const { return running_; }
  bool frozen() const { return frozen_; }
  /** Starts the process again after kill(). */
  void start();
  /** Drops all callbacks. The owner destroys the process's state machines immediately after. */
  void kill();
  void freeze() { frozen_ = true; }
  /** Ends freeze(), and runs what fell due meanwhile. */
  void wake();
  /** Occupies the process for this long, from now on or from the end of the work before. */
  void spend(base::Duration duration);

 private:
  bool busy() const { return now() < busy_until_; }
  void scheduleBacklog();
  void runBacklog();
  void run(std::uint64_t incarnation, std::function<void()> callback);

  World& world_;
  bool running_ = true;
  bool frozen_ = false;
  /** Increases with every start and kill; callbacks of earlier incarnations are dropped. */
  std::uint64_t incarnation_ = 0;
  /** Callbacks that fell due while the process was frozen. */
  std::deque<std::function<void()>> frozen_callbacks_;
  base::TimePoint busy_until_;
  /** Callbacks that fell due while the process was busy, in order. */
  std::deque<std::function<void()>> backlog_;
};

}  // namespace switchsaddle::simulation
