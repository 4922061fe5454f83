#include "switchsaddle/testbed/fleet/process_control.h"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/soak/blocking_socket.h"

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

TEST_F(ProcessControlTest, TellsWhetherAProcessProtectsItselfFromASignal) {
  EXPECT_FALSE(protectsItselfFrom(process_, SIGUSR1));
  const ProcessIdentity ignoring =
      launchDetached({"/bin/sh", "-c", "trap '' USR1; exec /bin/sleep 600"}, "/dev/null");
  while (!protectsItselfFrom(ignoring, SIGUSR1)) {
    ASSERT_NE(conditionOf(ignoring), ProcessCondition::Exited);
  }
  EXPECT_FALSE(protectsItselfFrom(ignoring, SIGUSR2));
  EXPECT_TRUE(sendSignal(ignoring, SIGKILL));
}

TEST(ProcessLaunchTest, AnHangupRightAfterALaunchWaits) {
  const ProcessIdentity process =
      launchDetached({"/bin/sleep", "600"}, "/dev/null", {.hangups_wait = true});
  EXPECT_TRUE(protectsItselfFrom(process, SIGHUP));
  EXPECT_TRUE(sendSignal(process, SIGHUP));
  EXPECT_NE(conditionOf(process), ProcessCondition::Exited);
  EXPECT_TRUE(sendSignal(process, SIGKILL));
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

/** @return whether the address can be listened at within the limit. */
bool becomesFree(const base::NodeAddress& address) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < deadline) {
    try {
      const BlockingListener listener(address);
      return true;
    } catch (const base::Error&) {
      // Still in use.
    }
  }
  return false;
}

TEST(ProcessLaunchTest, AStoppedProgramKeepsNoSocketOfItsCaller) {
  constexpr int Launches = 20;
  for (int launch = 0; launch < Launches; ++launch) {
    auto listener = std::make_unique<BlockingListener>(base::NodeAddress{"127.0.0.1", 0});
    const base::NodeAddress address = listener->address();
    const ProcessIdentity process = launchDetached({"/bin/sleep", "600"}, "/dev/null");
    sendSignal(process, SIGSTOP);
    listener.reset();
    const bool is_free = becomesFree(address);
    sendSignal(process, SIGKILL);
    ASSERT_TRUE(is_free) << launch;
  }
}

}  // namespace
}  // namespace switchsaddle::testbed
