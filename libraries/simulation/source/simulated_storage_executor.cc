#include "switchsaddle/simulation/simulated_storage_executor.h"

#include <utility>

#include "switchsaddle/simulation/simulated_disk.h"

namespace switchsaddle::simulation {

void SimulatedStorageExecutor::execute(std::function<void()> work,
                                       std::function<void()> completion) {
  jobs_.push_back(Job{std::move(work), std::move(completion)});
  startNext();
}

void SimulatedStorageExecutor::startNext() {
  if (busy_ || jobs_.empty()) {
    return;
  }
  busy_ = true;
  const auto range = static_cast<std::uint64_t>((maximum_delay - minimum_delay).count() + 1);
  const base::Duration spread(world_.random().below(range));
  const base::Duration delay = minimum_delay + spread + std::exchange(stall_, {});
  process_.postAfter(delay, callbacks_.guard([this] { runNext(); }));
}

void SimulatedStorageExecutor::runNext() {
  Job job = std::move(jobs_.front());
  jobs_.pop_front();
  try {
    job.work();
  } catch (const DiskInterrupted&) {
    return;
  }
  busy_ = false;
  process_.post(std::move(job.completion));
  startNext();
}

}  // namespace switchsaddle::simulation
