#include "switchsaddle/storage/thread_storage_executor.h"

#include <gtest/gtest.h>

#include <future>

#include "store_harness.h"

namespace switchsaddle::storage {
namespace {

TEST(ThreadStorageExecutor, RunsWorkInOrderOnAnotherThread) {
  ManualDispatcher dispatcher;
  ThreadStorageExecutor executor(dispatcher);
  constexpr int Jobs = 100;
  std::vector<int> order;
  std::vector<int> completed;
  std::thread::id worker;
  for (int index = 0; index < Jobs; ++index) {
    executor.execute(
        [&, index] {
          order.push_back(index);
          worker = std::this_thread::get_id();
        },
        [&, index] { completed.push_back(index); });
  }
  dispatcher.runUntil([&] { return completed.size() == Jobs; });
  EXPECT_NE(worker, std::this_thread::get_id());
  EXPECT_EQ(order, completed);
  EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
}

TEST(ThreadStorageExecutor, DestructionWaitsForTheWorkInProgress) {
  ManualDispatcher dispatcher;
  std::promise<void> begun;
  std::promise<void> released;
  bool finished = false;
  auto executor = std::make_unique<ThreadStorageExecutor>(dispatcher);
  executor->execute(
      [&] {
        begun.set_value();
        released.get_future().wait();
        finished = true;
      },
      [] {});
  begun.get_future().wait();
  std::thread destroyer([&] { executor.reset(); });
  released.set_value();
  destroyer.join();
  EXPECT_TRUE(finished);
}

}  // namespace
}  // namespace switchsaddle::storage
