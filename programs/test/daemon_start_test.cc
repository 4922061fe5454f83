#include <gtest/gtest.h>
#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>

#include "switchsaddle/testbed/soak/blocking_socket.h"
#include "tested_daemon.h"

namespace switchsaddle {
namespace {

namespace files = std::filesystem;
using testbed::BlockingListener;
using testbed::ProcessEnd;

const ProcessEnd Orderly = ProcessEnd::exited(0);
const ProcessEnd Refused = ProcessEnd::exited(1);
constexpr const char* Delayed = "event=start-delayed";

/** Faults of starting that pass, front or core alike. */
class DaemonStartTest : public testing::TestWithParam<DaemonRole> {
 protected:
  void SetUp() override { site_.writeSettings(); }

  /** Checks that a daemon waits while the address is in use, and starts once it is free. */
  void expectWaitFor(const base::NodeAddress& address) {
    auto holder = std::make_unique<BlockingListener>(address);
    TestedDaemon daemon(site_);
    ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
    holder.reset();
    EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
    EXPECT_EQ(daemon.terminate(), Orderly);
  }

  DaemonSite site_{GetParam()};
};

TEST_P(DaemonStartTest, WaitsForItsPeerAddress) {
  expectWaitFor(site_.peerAddress());
}

TEST_P(DaemonStartTest, WaitsForItsHttpAddress) {
  expectWaitFor(site_.httpAddress());
}

TEST_P(DaemonStartTest, SuccessorStartsOnceItsPredecessorHasEnded) {
  TestedDaemon predecessor(site_);
  ASSERT_TRUE(predecessor.waitForStart());
  TestedDaemon successor(site_);
  ASSERT_TRUE(successor.log().waitForText(Delayed, TestLimit)) << successor.log().text();
  EXPECT_EQ(predecessor.terminate(), Orderly);
  EXPECT_TRUE(successor.waitForStart()) << successor.log().text();
  EXPECT_EQ(successor.terminate(), Orderly);
}

TEST_P(DaemonStartTest, TerminationEndsTheWaitForAnAddress) {
  const BlockingListener holder(site_.httpAddress());
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonStartTest, WaitsForSettingsThatAreStillWritten) {
  const std::string whole = site_.settingsText();
  std::ofstream(site_.settingsFile()) << whole.substr(0, whole.size() / 2);
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
  site_.writeSettings();
  EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonStartTest, WaitsForASettingsFileThatIsNotThereYet) {
  files::remove(site_.settingsFile());
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
  site_.writeSettings();
  EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonStartTest, SettingsThatCanNotBeRightEndTheStartAtOnce) {
  std::ofstream(site_.settingsFile()) << R"({"zone": "a", "no_such_setting": 1})";
  TestedDaemon daemon(site_);
  EXPECT_EQ(daemon.process().waitForEnd(TestLimit), Refused);
  EXPECT_TRUE(daemon.log().waitForText("6005 SettingsInvalid", TestLimit)) << daemon.log().text();
  EXPECT_EQ(daemon.log().text().find(Delayed), std::string::npos);
}

/** Holds a daemon in the middle of its start: its settings file is a pipe that nobody writes yet.
 */
class DaemonMidStartTest : public DaemonStartTest {
 protected:
  void SetUp() override {
    ::mkfifo(site_.settingsFile().c_str(), 0600);
    // Writing the settings of a daemon that has ended must not end the test.
    ::signal(SIGPIPE, SIG_IGN);
  }
  void TearDown() override { ::signal(SIGPIPE, SIG_DFL); }
};

TEST_P(DaemonMidStartTest, HangupDoesNotEndTheDaemon) {
  TestedDaemon daemon(site_);
  // Returns once the daemon has opened the other end.
  std::ofstream settings(site_.settingsFile());
  daemon.process().signal(SIGHUP);
  settings << site_.settingsText();
  settings.close();
  EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
  daemon.process().signal(SIGKILL);
  EXPECT_EQ(daemon.process().waitForEnd(TestLimit), ProcessEnd::killed(SIGKILL));
}

TEST_P(DaemonMidStartTest, TerminationIsCarriedOutInOrder) {
  TestedDaemon daemon(site_);
  std::ofstream settings(site_.settingsFile());
  daemon.process().signal(SIGTERM);
  settings << site_.settingsText();
  settings.close();
  EXPECT_EQ(daemon.process().waitForEnd(TestLimit), Orderly) << daemon.log().text();
}

std::string nameOf(const testing::TestParamInfo<DaemonRole>& role) {
  return role.param == DaemonRole::Front ? "front" : "core";
}

INSTANTIATE_TEST_SUITE_P(Roles, DaemonStartTest,
                         testing::Values(DaemonRole::Front, DaemonRole::Core), nameOf);
INSTANTIATE_TEST_SUITE_P(Roles, DaemonMidStartTest,
                         testing::Values(DaemonRole::Front, DaemonRole::Core), nameOf);

TEST(FrontStartTest, WaitsForItsReadinessAddress) {
  const DaemonSite site(DaemonRole::Front);
  site.writeSettings();
  auto holder = std::make_unique<BlockingListener>(site.readinessAddress());
  TestedDaemon daemon(site);
  ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
  holder.reset();
  EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST(CoreStartTest, WaitsForItsDataFolder) {
  const DaemonSite site(DaemonRole::Core);
  site.writeSettings();
  std::ofstream(site.dataFolder()) << "a file is in the way";
  TestedDaemon daemon(site);
  ASSERT_TRUE(daemon.log().waitForText(Delayed, TestLimit)) << daemon.log().text();
  files::remove(site.dataFolder());
  EXPECT_TRUE(daemon.waitForStart()) << daemon.log().text();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

}  // namespace
}  // namespace switchsaddle
