#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"
#include "switchsaddle/storage/storage_executor.h"

namespace switchsaddle::simulation {

/**
 * Runs disk work of a simulated process in order, each piece after a random delay. Work of a killed
 * process neither runs on nor completes; work which meets DiskInterrupted has been done in part and
 * never completes, after which the scenario kills the process. One for each life of a process.
 */
class SimulatedStorageExecutor : public storage::StorageExecutor {
 public:
  SimulatedStorageExecutor(World& world, Process& process) : world_(world), process_(process) {}

  base::Duration minimum_delay = std::chrono::microseconds(200);
  base::Duration maximum_delay = std::chrono::milliseconds(5);

  void execute(std::function<void()> work, std::function<void()> completion) override;
  /** The next piece to begin takes this much longer, as on a disk that stalls. */
  void stallNext(base::Duration duration) { stall_ = duration; }

 private:
  struct Job {
    std::function<void()> work;
    std::function<void()> completion;
  };
  void startNext();
  void runFirst();

  World& world_;
  Process& process_;
  std::deque<Job> jobs_;
  bool busy_ = false;
  base::Duration stall_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::simulation
