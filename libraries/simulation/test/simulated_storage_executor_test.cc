#include "switchsaddle/simulation/simulated_storage_executor.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/simulated_disk.h"

namespace switchsaddle::simulation {
namespace {

class SimulatedStorageExecutorTest : public testing::Test {
 protected:
  void execute(int number) {
    executor_.execute([this, number] { worked_.push_back(number); },
                      [this, number] { completed_.push_back(number); });
  }

  using Numbers = std::vector<int>;
  World world_{1};
  Process process_{world_};
  SimulatedStorageExecutor executor_{world_, process_};
  Numbers worked_;
  Numbers completed_;
};

TEST_F(SimulatedStorageExecutorTest, RunsJobsInOrder) {
  execute(1);
  execute(2);
  EXPECT_EQ(worked_, Numbers{});
  world_.runFor(std::chrono::seconds(1));
  EXPECT_EQ(worked_, (Numbers{1, 2}));
  EXPECT_EQ(completed_, (Numbers{1, 2}));
}

TEST_F(SimulatedStorageExecutorTest, StallsOneJob) {
  executor_.stallNext(std::chrono::seconds(20));
  execute(1);
  world_.runFor(std::chrono::seconds(20));
  EXPECT_EQ(completed_, Numbers{});
  world_.runFor(std::chrono::seconds(1));
  EXPECT_EQ(completed_, Numbers{1});
}

TEST_F(SimulatedStorageExecutorTest, JobsOfAKilledProcessNeverComplete) {
  execute(1);
  process_.kill();
  process_.start();
  world_.runFor(std::chrono::seconds(1));
  EXPECT_EQ(worked_, Numbers{});
  EXPECT_EQ(completed_, Numbers{});
}

TEST_F(SimulatedStorageExecutorTest, AnInterruptedJobNeverCompletes) {
  executor_.execute([] { throw DiskInterrupted{}; }, [this] { completed_.push_back(1); });
  execute(2);
  world_.runFor(std::chrono::seconds(1));
  EXPECT_EQ(worked_, Numbers{});
  EXPECT_EQ(completed_, Numbers{});
}

}  // namespace
}  // namespace switchsaddle::simulation
