#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>

#include "tested_daemon.h"

namespace switchsaddle {
namespace {

using testbed::ProcessEnd;

const ProcessEnd Orderly = ProcessEnd::exited(0);
constexpr std::array StandardDescriptors{STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO};

/** What a machine may do to a running or starting daemon, front or core alike. */
class DaemonSurroundingsTest : public testing::TestWithParam<DaemonRole> {
 protected:
  void SetUp() override { site_.writeSettings(); }

  DaemonSite site_{GetParam()};
};

TEST_P(DaemonSurroundingsTest, EndOfTheLogReaderDoesNotEndTheDaemon) {
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  daemon.log().closeReader();
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonSurroundingsTest, ALogThatIsNotReadDoesNotSilenceTheDaemon) {
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  daemon.log().fill();
  daemon.process().signal(SIGHUP);
  EXPECT_TRUE(answers(site_.httpAddress(), "/readyz"));
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonSurroundingsTest, SignalsThatAreNoOrderDoNotEndTheDaemon) {
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  for (const int signal :
       {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR}) {
    daemon.process().signal(signal);
    ASSERT_TRUE(answers(site_.httpAddress(), "/readyz")) << signal;
  }
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonSurroundingsTest, ADaemonThatCrashesTellsItInItsLog) {
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  daemon.process().signal(SIGSEGV);
  EXPECT_TRUE(daemon.log().waitForText("event=crashed signal=SIGSEGV", TestLimit));
  EXPECT_EQ(daemon.process().waitForEnd(TestLimit), ProcessEnd::killed(SIGSEGV));
}

TEST_P(DaemonSurroundingsTest, HangupsUntilItsLastMomentDoNotEndAStoppingDaemon) {
  TestedDaemon daemon(site_);
  ASSERT_TRUE(daemon.waitForStart());
  daemon.process().signal(SIGTERM);
  while (!daemon.process().waitForEnd(base::Duration::zero())) {
    daemon.process().signal(SIGHUP);
  }
  EXPECT_EQ(daemon.process().waitForEnd(TestLimit), Orderly);
}

TEST_P(DaemonSurroundingsTest, ABlockedMaskOfTheParentIsNotKept) {
  TestedDaemon daemon(site_, [] {
    sigset_t blocked;
    sigfillset(&blocked);
    sigprocmask(SIG_BLOCK, &blocked, nullptr);
  });
  ASSERT_TRUE(daemon.waitForStart());
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonSurroundingsTest, ClosedStandardDescriptorsAreNotTakenForOtherFiles) {
  TestedDaemon daemon(site_, [] {
    for (const int descriptor : StandardDescriptors) {
      ::close(descriptor);
    }
  });
  ASSERT_TRUE(becomesReachable(site_.httpAddress()));
  const std::string folder = "/proc/" + std::to_string(daemon.process().pid()) + "/fd/";
  for (const int descriptor : StandardDescriptors) {
    EXPECT_EQ(std::filesystem::read_symlink(folder + std::to_string(descriptor)), "/dev/null");
  }
  EXPECT_EQ(daemon.terminate(), Orderly);
}

TEST_P(DaemonSurroundingsTest, ALimitOnFileSizesDoesNotEndTheDaemon) {
  TestedDaemon daemon(site_, [] {
    const rlimit limit{1, 1};
    setrlimit(RLIMIT_FSIZE, &limit);
  });
  ASSERT_TRUE(daemon.waitForStart());
  if (GetParam() == DaemonRole::Core) {
    EXPECT_TRUE(daemon.log().waitForText("event=storage-not-opened", TestLimit));
  }
  EXPECT_EQ(daemon.terminate(), Orderly);
}

INSTANTIATE_TEST_SUITE_P(Roles, DaemonSurroundingsTest,
                         testing::Values(DaemonRole::Front, DaemonRole::Core),
                         [](const auto& role) {
                           return role.param == DaemonRole::Front ? "front" : "core";
                         });

}  // namespace
}  // namespace switchsaddle
