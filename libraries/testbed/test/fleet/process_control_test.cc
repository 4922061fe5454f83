#include "switchsaddle/testbed/fleet/process_control.h"

#include <gtest/gtest.h>

#include <csignal>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

constexpr base::Duration ConditionLimit = std::chrono::minutes(1);

class ProcessControlTest : public testing::Test {
 protected:
  /** A process that sleeps for longer than the test takes. */
  ProcessIdentity process_ = launchDetached({"/bin/sleep", "600"}, "/dev/null");
  ~ProcessControlTest() override { sendSignal(process_, SIGKILL); }
};

TEST_F(ProcessControlTest, SignalsOnlyTheGivenProcess) {
  EXPECT_NE(conditionOf(process_), ProcessCondition::Exited);
  EXPECT_TRUE(sendSignal(process_, SIGSTOP));
  EXPECT_TRUE(waitForCondition(process_, ProcessCondition::Stopped, ConditionLimit));
  EXPECT_TRUE(sendSignal(process_, SIGCONT));
  EXPECT_TRUE(waitForCondition(process_, ProcessCondition::Running, ConditionLimit));
  EXPECT_TRUE(sendSignal(process_, SIGKILL));
  EXPECT_TRUE(waitForCondition(process_, ProcessCondition::Exited, ConditionLimit));
  EXPECT_FALSE(sendSignal(process_, SIGKILL));
}

TEST_F(ProcessControlTest, AReusedPidIsNotTheSameProcess) {
  const ProcessIdentity other{process_.pid, process_.start_ticks + 1};
  EXPECT_EQ(conditionOf(other), ProcessCondition::Exited);
  EXPECT_FALSE(sendSignal(other, SIGKILL));
  EXPECT_NE(conditionOf(process_), ProcessCondition::Exited);
}

TEST(ProcessTimeTest, AWorkingProcessUsesProcessorTime) {
  const ProcessIdentity process =
      launchDetached({"/bin/sh", "-c", "while :; do :; done"}, "/dev/null");
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (cpuTimeOf(process) == base::Duration::zero() && std::chrono::steady_clock::now() < end) {
    conditionOf(process);
  }
  EXPECT_GT(cpuTimeOf(process), base::Duration::zero());
  EXPECT_EQ(cpuTimeOf({process.pid, process.start_ticks + 1}), base::Duration::zero());
  EXPECT_TRUE(sendSignal(process, SIGKILL));
  EXPECT_TRUE(waitForCondition(process, ProcessCondition::Exited, std::chrono::seconds(20)));
}

TEST(ProcessLaunchTest, RejectsAMissingProgram) {
  EXPECT_THROW(launchDetached({"/nonexistent/program"}, "/dev/null"), base::Error);
}

}  // namespace
}  // namespace switchsaddle::testbed
