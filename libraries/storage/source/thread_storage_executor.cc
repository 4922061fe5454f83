#include "switchsaddle/storage/thread_storage_executor.h"

#include <utility>

namespace switchsaddle::storage {

ThreadStorageExecutor::ThreadStorageExecutor(base::Dispatcher& dispatcher)
    : dispatcher_(dispatcher), thread_([this] { run(); }) {}

ThreadStorageExecutor::~ThreadStorageExecutor() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void ThreadStorageExecutor::execute(std::function<void()> work, std::function<void()> completion) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(Job{std::move(work), std::move(completion)});
  }
  changed_.notify_one();
}

void ThreadStorageExecutor::run() {
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) {
      return;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job.work();
    dispatcher_.post(std::move(job.completion));
  }
}

}  // namespace switchsaddle::storage
