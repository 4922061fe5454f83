#include "switchsaddle/base/incident_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "switchsaddle/base/crash_dump.h"
#include "switchsaddle/simulation/process.h"

namespace switchsaddle::base {
namespace {

/** Provides a temporary folder and a simulated clock. */
class IncidentLogTest : public testing::Test {
 protected:
  IncidentLogTest() {
    std::string pattern = testing::TempDir() + "incident_log_test_XXXXXX";
    folder_ = mkdtemp(pattern.data());
    ring_.append("earlier");
  }
  ~IncidentLogTest() override { std::filesystem::remove_all(folder_); }

  std::size_t fileCount() const {
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator(folder_), {}));
  }

  static std::string readFile(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  static Incident incident(std::string_view event) {
    return {event, Severity::Error, ResultCode::NoQuorum, "r-1", {}, true};
  }

  simulation::World world_{1};
  simulation::Process process_{world_};
  LogRing ring_;
  std::filesystem::path folder_;
};

TEST_F(IncidentLogTest, WritesCodeNameAndRequestAndOmitsEmptyFields) {
  IncidentLog log(process_, ring_, {});
  log.report({"stream-broken",
              Severity::Error,
              ResultCode::StreamGap,
              "r-7",
              {{"worker", "w1"}, {"tenant", ""}}});
  const std::string line = processLogRing().lines().back();
  EXPECT_NE(line.find("severity=error event=stream-broken code=5002 name=StreamGap request_id=r-7 "
                      "worker=w1"),
            std::string::npos)
      << line;
  EXPECT_EQ(line.find("tenant"), std::string::npos);
}

TEST_F(IncidentLogTest, DumpsOncePerIntervalAndEvent) {
  IncidentLog log(process_, ring_, folder_);
  log.report(incident("session-lapsed"));
  world_.runFor(std::chrono::seconds(59));
  log.report(incident("session-lapsed"));
  EXPECT_EQ(log.dumps(), 1U);
  world_.runFor(std::chrono::seconds(1));
  log.report(incident("session-lapsed"));
  EXPECT_EQ(log.dumps(), 2U);
}

TEST_F(IncidentLogTest, DumpsOfEventsAreLimitedIndependently) {
  IncidentLog log(process_, ring_, folder_);
  log.report(incident("session-lapsed"));
  log.report(incident("stream-broken"));
  EXPECT_EQ(log.dumps(), 2U);
  EXPECT_EQ(readFile(folder_ / "ring-0.log").substr(0, 5), "time=");
  EXPECT_NE(readFile(folder_ / "ring-1.log").find("reason=stream-broken\nearlier\n"),
            std::string::npos);
}

TEST_F(IncidentLogTest, TheDumpContainsTheLineThatCausedIt) {
  IncidentLog log(process_, processLogRing(), folder_);
  Incident cause = incident("session-lapsed");
  cause.request_id = "the-cause";
  log.report(cause);
  EXPECT_NE(readFile(folder_ / "ring-0.log").find("request_id=the-cause"), std::string::npos);
}

TEST_F(IncidentLogTest, WritesABoundedNumberOfFiles) {
  IncidentLog log(process_, ring_, folder_, {std::chrono::seconds(1), 20, 3});
  for (int round = 0; round < 10; ++round) {
    log.report(incident("no-quorum"));
    world_.runFor(std::chrono::seconds(1));
  }
  EXPECT_EQ(log.dumps(), 10U);
  EXPECT_EQ(fileCount(), 3U);
}

TEST_F(IncidentLogTest, LimitsLinesPerSecondAndStatesHowManyWereSuppressed) {
  IncidentLog log(process_, ring_, {}, {std::chrono::minutes(1), 5, 1});
  const Incident repeated{"no-quorum", Severity::Warning, ResultCode::NoQuorum, {}, {}, false};
  const std::uint64_t before = processLogRing().appended();
  for (int number = 0; number < 100; ++number) {
    log.report(repeated);
  }
  EXPECT_EQ(processLogRing().appended() - before, 5U);
  world_.runFor(std::chrono::seconds(1));
  log.report(repeated);
  EXPECT_NE(processLogRing().lines().back().find("left_out=95"), std::string::npos);
  log.report(repeated);
  EXPECT_EQ(processLogRing().lines().back().find("left_out"), std::string::npos);
}

TEST_F(IncidentLogTest, LogsOnceThatNoFolderIsSet) {
  IncidentLog log(process_, ring_, {});
  const auto warnings = [] {
    const std::vector<std::string> lines = processLogRing().lines();
    return std::count_if(lines.begin(), lines.end(), [](const std::string& line) {
      return line.find("event=log-ring-kept-in-memory") != std::string::npos;
    });
  };
  const auto before = warnings();
  log.report(incident("no-quorum"));
  log.report(incident("session-lapsed"));
  EXPECT_EQ(log.dumps(), 0U);
  EXPECT_EQ(warnings() - before, 1);
}

TEST_F(IncidentLogTest, FailureToWriteADumpIsNotFatal) {
  std::ofstream(folder_ / "file") << "not a folder";
  IncidentLog log(process_, ring_, folder_ / "file");
  EXPECT_NO_THROW(log.report(incident("no-quorum")));
  EXPECT_EQ(log.dumps(), 0U);
}

using CrashDumpDeathTest = IncidentLogTest;

TEST_F(CrashDumpDeathTest, AFatalSignalWritesTheRingAndTerminatesTheProcess) {
  EXPECT_EXIT(
      {
        installCrashDump(ring_, folder_);
        raise(SIGSEGV);
      },
      testing::KilledBySignal(SIGSEGV), "");
  EXPECT_EQ(readFile(folder_ / CrashFileName), "reason=SIGSEGV\nearlier\n");
}

TEST_F(CrashDumpDeathTest, AProcessWithoutAFolderTellsItsEndOnStandardError) {
  EXPECT_EXIT(
      {
        installCrashDump(ring_, "");
        raise(SIGSEGV);
      },
      testing::KilledBySignal(SIGSEGV), "event=crashed signal=SIGSEGV\nearlier\n");
}

TEST_F(CrashDumpDeathTest, AnUncaughtExceptionWithoutAFolderIsTold) {
  EXPECT_EXIT(
      {
        installCrashDump(processLogRing(), "");
        std::thread([] { static_cast<void>(std::stoi("none")); }).join();
      },
      testing::KilledBySignal(SIGABRT), "event=terminating reason=stoi");
}

TEST_F(CrashDumpDeathTest, AnUncaughtExceptionWritesItsMessage) {
  EXPECT_EXIT(
      {
        installCrashDump(processLogRing(), folder_);
        std::thread([] { static_cast<void>(std::stoi("none")); }).join();
      },
      testing::KilledBySignal(SIGABRT), "");
  const std::string written = readFile(folder_ / CrashFileName);
  EXPECT_NE(written.find("reason=SIGABRT\n"), std::string::npos);
  EXPECT_NE(written.find("event=terminating reason=stoi"), std::string::npos) << written;
}

}  // namespace
}  // namespace switchsaddle::base
