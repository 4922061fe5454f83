#include <gtest/gtest.h>

#include "switchsaddle/front/admission/stage.h"
#include "switchsaddle/front/attempt/retry_budget.h"
#include "switchsaddle/front/attempt/worker_circuit.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::front {
namespace {

class LimitsTest : public testing::Test {
 protected:
  simulation::World world{1};
  simulation::Process process{world};
};

TEST_F(LimitsTest, RetriesStayBelowTheShareWithoutAFloor) {
  RetryBudget budget(process);
  for (int count = 0; count < 9; ++count) {
    budget.countFirstAttempt("orders");
  }
  EXPECT_FALSE(budget.tryAcquire("orders", 0.1));
  budget.countFirstAttempt("orders");
  EXPECT_TRUE(budget.tryAcquire("orders", 0.1));
  EXPECT_FALSE(budget.tryAcquire("orders", 0.1));
  EXPECT_FALSE(budget.tryAcquire("cues", 0.1));
}

TEST_F(LimitsTest, TheRetryWindowSlides) {
  RetryBudget budget(process);
  for (int count = 0; count < 20; ++count) {
    budget.countFirstAttempt("orders");
  }
  EXPECT_TRUE(budget.tryAcquire("orders", 0.1));
  world.runFor(std::chrono::seconds(9));
  EXPECT_TRUE(budget.tryAcquire("orders", 0.1));
  EXPECT_FALSE(budget.tryAcquire("orders", 0.1));
  world.runFor(std::chrono::seconds(2));
  EXPECT_FALSE(budget.tryAcquire("orders", 0.1));
  for (int count = 0; count < 20; ++count) {
    budget.countFirstAttempt("orders");
  }
  // One of the retries has not left the window.
  EXPECT_TRUE(budget.tryAcquire("orders", 0.1));
  EXPECT_FALSE(budget.tryAcquire("orders", 0.1));
}

TEST_F(LimitsTest, BudgetOfALoadPeakIsNotUsedInABurst) {
  RetryBudget budget(process);
  for (int second = 0; second < 9; ++second) {
    for (int count = 0; count < 100; ++count) {
      budget.countFirstAttempt("orders");
    }
    world.runFor(std::chrono::seconds(1));
  }
  for (int count = 0; count < 20; ++count) {
    budget.countFirstAttempt("orders");
  }
  int retries = 0;
  while (budget.tryAcquire("orders", 0.1)) {
    ++retries;
  }
  EXPECT_EQ(retries, 3) << "a tenth of the last second's requests, and one";
}

TEST_F(LimitsTest, CircuitAllowsOneTrialRequestWhenHalfOpen) {
  WorkerCircuit circuit(process);
  workers::Worker worker;
  worker.entry.id = "w1";
  worker.entry.instance = 1;
  EXPECT_TRUE(circuit.mayAttempt(worker));
  circuit.onRefused(worker);
  EXPECT_FALSE(circuit.mayAttempt(worker));
  EXPECT_EQ(circuit.openWorkers(), std::vector<std::string>{"w1"});
  world.runFor(WorkerCircuit::FirstOpenTime);
  EXPECT_TRUE(circuit.mayAttempt(worker));
  circuit.onDispatch(worker);
  EXPECT_FALSE(circuit.mayAttempt(worker));
  circuit.onConnected(worker);
  EXPECT_TRUE(circuit.mayAttempt(worker));
  circuit.onRefused(worker);
  worker.entry.instance = 2;
  EXPECT_TRUE(circuit.mayAttempt(worker));
}

TEST(Stage, LimitsConcurrencyAndQueue) {
  Stage stage(1, 1);
  std::vector<StageTicket> tickets;
  std::vector<int> ran;
  const auto task = [&](int number) {
    return [&, number](StageTicket ticket) {
      ran.push_back(number);
      tickets.push_back(std::move(ticket));
    };
  };
  EXPECT_TRUE(stage.submit(task(1)));
  EXPECT_TRUE(stage.submit(task(2)));
  EXPECT_FALSE(stage.submit(task(3)));
  EXPECT_EQ(ran, std::vector<int>{1});
  StageTicket first = std::exchange(tickets[0], {});
  first.reset();
  EXPECT_EQ(ran, (std::vector<int>{1, 2}));
  EXPECT_TRUE(stage.submit(task(4)));
}

TEST(Stage, RunsLongQueuesOfShortTasksOnAFlatStack) {
  Stage stage(1, 100'000);
  StageTicket first_ticket;
  int ran = 0;
  stage.submit([&first_ticket](StageTicket ticket) { first_ticket = std::move(ticket); });
  for (int count = 0; count < 100'000; ++count) {
    EXPECT_TRUE(stage.submit([&ran](const StageTicket& /*ticket*/) { ++ran; }));
  }
  first_ticket.reset();
  EXPECT_EQ(ran, 100'000);
  EXPECT_EQ(stage.running(), 0U);
}

}  // namespace
}  // namespace switchsaddle::front
