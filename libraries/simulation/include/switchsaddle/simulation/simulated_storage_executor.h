#pragma once

#include <deque>
#include <functional>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/storage/storage_executor.h"

namespace switchsaddle::simulation {

/**
 * Runs the disk jobs of a simulated process in order, each after a random delay. Jobs of a killed
 * process neither run nor complete; a job that throws DiskInterrupted was done partially and never
 * completes, after which the scenario kills the process. One for each incarnation of a process.
 */
class SimulatedStorageExecutor : public storage::StorageExecutor {
 public:
  SimulatedStorageExecutor(World& world, Process& process) : world_(world), process_(process) {}

  base::Duration minimum_delay = std::chrono::microseconds(200);
  base::Duration maximum_delay = std::chrono::milliseconds(5);

  void execute(std::function<void()> work, std::function<void()> completion) override;
  /** Delays the next job to start by this much more, as on a disk that stalls. */
  void stallNext(base::Duration duration) { stall_ = duration; }

 private:
  struct Job {
    std::function<void()> work;
    std::function<void()> completion;
  };
  void startNext();
  void runNext();

  World& world_;
  Process& process_;
  std::deque<Job> jobs_;
  /** A job is scheduled or was interrupted. */
  bool busy_ = false;
  base::Duration stall_{};
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::simulation
