#include "switchsaddle/testbed/fleet/process_ends.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>

namespace switchsaddle::testbed {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr base::Duration EndLimit = std::chrono::minutes(1);

class ProcessEndsTest : public testing::Test {
 protected:
  void SetUp() override { ends_.watch(); }

  /** Launches a program whose log, and so its name in reports, is "tested". */
  ProcessIdentity launch(const std::vector<std::string>& command) {
    const ProcessIdentity process = launchDetached(command, testing::TempDir() + "/tested.log");
    ends_.onLaunch("tested", process);
    return process;
  }
  ProcessIdentity launchSleeper() { return launch({"/bin/sleep", "600"}); }

  /** Waits for the end. @return the ends that were not brought about. */
  std::vector<std::string> unexpectedAfterEndOf(const ProcessIdentity& process) {
    EXPECT_TRUE(waitForCondition(process, ProcessCondition::Exited, EndLimit));
    return ends_.takeUnexpected();
  }

  ProcessEnds ends_;
};

TEST_F(ProcessEndsTest, AnEndBehindTheRunsBackIsTold) {
  const ProcessIdentity process = launchSleeper();
  ::kill(static_cast<pid_t>(process.pid), SIGSEGV);
  EXPECT_THAT(unexpectedAfterEndOf(process),
              ElementsAre(testing::AllOf(HasSubstr("tested"), HasSubstr("signal 11"))));
}

TEST_F(ProcessEndsTest, AKillThatTheRunDidNotSendIsTold) {
  const ProcessIdentity process = launchSleeper();
  ends_.onSignal(process, SIGTERM);
  ::kill(static_cast<pid_t>(process.pid), SIGKILL);
  EXPECT_THAT(unexpectedAfterEndOf(process), ElementsAre(HasSubstr("signal 9")));
}

TEST_F(ProcessEndsTest, AnEndByAnHangupIsToldAlthoughTheRunSentIt) {
  const ProcessIdentity process = launchSleeper();
  ends_.onSignal(process, SIGHUP);
  sendSignal(process, SIGHUP);
  EXPECT_THAT(unexpectedAfterEndOf(process), ElementsAre(HasSubstr("signal 1 ")));
}

TEST_F(ProcessEndsTest, TheSignalsBeforeAnEndAreToldWithTheirTimes) {
  const ProcessIdentity process = launchSleeper();
  ends_.onSignal(process, SIGCONT);
  ends_.onSignal(process, SIGHUP);
  sendSignal(process, SIGHUP);
  EXPECT_THAT(unexpectedAfterEndOf(process),
              ElementsAre(testing::ContainsRegex(
                  "sent: signal 18 [0-9]+ ms after its launch, signal 1 [0-9]+ ms after")));
}

TEST_F(ProcessEndsTest, AnExitThatNobodyOrderedIsToldWhateverItsStatus) {
  EXPECT_THAT(unexpectedAfterEndOf(launch({"/bin/true"})), ElementsAre(HasSubstr("status 0")));
}

TEST_F(ProcessEndsTest, AFailedExitAfterATerminationIsTold) {
  const ProcessIdentity process = launch({"/bin/sh", "-c", "exit 3"});
  ends_.onSignal(process, SIGTERM);
  EXPECT_THAT(unexpectedAfterEndOf(process), ElementsAre(HasSubstr("status 3")));
}

TEST_F(ProcessEndsTest, EndsThatTheRunBroughtAboutAreNotTold) {
  const ProcessIdentity killed = launchSleeper();
  ends_.onSignal(killed, SIGKILL);
  sendSignal(killed, SIGKILL);
  const ProcessIdentity exited = launch({"/bin/false"});
  ends_.expectExit(exited);
  EXPECT_THAT(unexpectedAfterEndOf(killed), IsEmpty());
  EXPECT_THAT(unexpectedAfterEndOf(exited), IsEmpty());
}

}  // namespace
}  // namespace switchsaddle::testbed
