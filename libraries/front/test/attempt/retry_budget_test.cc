#include "switchsaddle/front/attempt/retry_budget.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"
#include "switchsaddle/simulation/world.h"

namespace switchsaddle::front {
namespace {

TEST(RetryBudgetTest, HasNoMinimumPerFront) {
  simulation::World world{1};
  simulation::Process process{world};
  RetryBudget budget(process);
  budget.countFirstAttempt("s");
  EXPECT_FALSE(budget.tryAcquire("s", 0.2));
}

TEST(RetryBudgetTest, AllowsTheExtraRetriesOncePerWindow) {
  simulation::World world{1};
  simulation::Process process{world};
  RetryBudget budget(process);
  int acquired = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    acquired += budget.tryAcquire("s", 0.2, 5) ? 1 : 0;
  }
  EXPECT_EQ(acquired, 5);
  world.runFor(std::chrono::seconds(9));
  EXPECT_FALSE(budget.tryAcquire("s", 0.2, 5));
  world.runFor(std::chrono::seconds(2));
  EXPECT_TRUE(budget.tryAcquire("s", 0.2, 5));
}

}  // namespace
}  // namespace switchsaddle::front
