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
 * callback that has not run; freezing it holds them back until it is woken, when all those due run
 * at once, as after SIGSTOP and SIGCONT. A killed process may be started again, with fresh state
 * machines. Work that takes processor time is told by spend(): what falls due meanwhile waits for
 * its turn.
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
  void start();
  /** The owner destroys the process's state machines right after. */
  void kill();
  void freeze() { frozen_ = true; }
  void wake();
  /** The process is at work for so long from now on, or from the end of the work before. */
  void spend(base::Duration duration);

 private:
  bool busy() const { return now() < busy_until_; }
  void scheduleWaiting();
  void runWaiting();
  void run(std::uint64_t generation, std::function<void()> callback);

  World& world_;
  bool running_ = true;
  bool frozen_ = false;
  /** Counts starts; callbacks of an earlier life are dropped. */
  std::uint64_t generation_ = 0;
  std::deque<std::function<void()>> held_;
  base::TimePoint busy_until_;
  /** Due, in the order in which they run once the process has time. */
  std::deque<std::function<void()>> waiting_;
};

}  // namespace switchsaddle::simulation
