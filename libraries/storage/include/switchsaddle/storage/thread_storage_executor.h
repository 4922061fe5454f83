#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/storage/storage_executor.h"

namespace switchsaddle::storage {

/**
 * Runs disk work in order on its own thread and posts completions to the dispatcher, which
 * must outlive it. Destruction waits for the work in progress and drops queued work and its
 * completions.
 */
class ThreadStorageExecutor : public StorageExecutor {
 public:
  explicit ThreadStorageExecutor(base::Dispatcher& dispatcher);
  ~ThreadStorageExecutor() override;
  /** Callable from any thread. `work` must not throw. */
  void execute(std::function<void()> work, std::function<void()> completion) override;

 private:
  struct Job {
    std::function<void()> work;
    std::function<void()> completion;
  };
  void run();

  base::Dispatcher& dispatcher_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  /** Declared last, so that it starts after the other members are constructed. */
  std::thread thread_;
};

}  // namespace switchsaddle::storage
