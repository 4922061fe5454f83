#include "attempt/attempt_list.h"

#include <gtest/gtest.h>

#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

class AttemptListTest : public testing::Test {
 protected:
  AttemptList attempts() { return {budget, counters, "service"}; }
  /** Counts first attempts of other requests. */
  void countOthers(int number) {
    for (int index = 0; index < number; ++index) {
      attempts().countFirst();
    }
  }

  simulation::World world{1};
  simulation::Process process{world};
  RetryBudget budget{process};
  Counters counters;
};

TEST_F(AttemptListTest, CountsTheFirstAttemptOnce) {
  AttemptList list = attempts();
  list.countFirst();
  list.beginDispatch();
  list.beginDispatch();
  EXPECT_EQ(list.dispatched(), 2U);
  EXPECT_EQ(counters.dispatches, 2U);
  // At a share of 1, one first attempt allows exactly one retry.
  EXPECT_TRUE(list.acquireRetry(1.0));
  EXPECT_FALSE(list.mayRetry(1.0));
}

TEST_F(AttemptListTest, ChargesARetryOnlyIfTheBudgetAllowsIt) {
  countOthers(9);
  AttemptList list = attempts();
  list.beginDispatch();
  EXPECT_TRUE(list.mayRetry(0.1));
  EXPECT_EQ(counters.retries, 0U);
  EXPECT_TRUE(list.acquireRetry(0.1));
  EXPECT_EQ(counters.retries, 1U);
  EXPECT_FALSE(list.acquireRetry(0.1));
  EXPECT_EQ(counters.retries, 1U);
}

TEST_F(AttemptListTest, KeepsExcludedWorkersInOrder) {
  AttemptList list = attempts();
  EXPECT_TRUE(list.excluded().empty());
  list.exclude("w2");
  list.exclude("w1");
  EXPECT_EQ(list.excluded(), (std::vector<std::string>{"w2", "w1"}));
}

}  // namespace
}  // namespace switchsaddle::front
