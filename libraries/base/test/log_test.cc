#include "switchsaddle/base/log.h"

#include <glog/logging.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <thread>

#include "switchsaddle/base/error.h"

namespace switchsaddle::base {
namespace {

class LogTest : public testing::Test {
 protected:
  LogTest() {
    std::string pattern = testing::TempDir() + "log_test_XXXXXX";
    folder = mkdtemp(pattern.data());
  }
  ~LogTest() override { std::filesystem::remove_all(folder); }

  static std::vector<std::string> readLines(const std::filesystem::path& path) {
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
    return lines;
  }

  std::filesystem::path folder;
};

/** Collects the messages sent to glog. */
class CollectingSink : public google::LogSink {
 public:
  CollectingSink() { google::AddLogSink(this); }
  ~CollectingSink() override { google::RemoveLogSink(this); }
  void send(google::LogSeverity severity, const char* /*path*/, const char* /*file*/, int /*line*/,
            const struct tm* /*time*/, const char* message, std::size_t size) override {
    severities.push_back(severity);
    messages.emplace_back(message, size);
  }
  std::vector<google::LogSeverity> severities;
  std::vector<std::string> messages;
};

TEST_F(LogTest, KeepsTheNewestLinesInOrder) {
  LogRing ring(3);
  for (int number = 0; number < 5; ++number) {
    ring.append(std::to_string(number));
  }
  EXPECT_EQ(ring.lines(), (std::vector<std::string>{"2", "3", "4"}));
  EXPECT_EQ(ring.appended(), 5U);
  ring.append(std::string(LogRing::MaximumLineBytes + 1, 'x'));
  EXPECT_EQ(ring.lines().back().size(), LogRing::MaximumLineBytes);
}

TEST_F(LogTest, QuotesAndEscapesValues) {
  EXPECT_EQ(formatEvent(Severity::Info, "started", {{"port", "80"}, {"zone", ""}}),
            "severity=info event=started port=80 zone=\"\"");
  EXPECT_EQ(formatEvent(Severity::Error, "failed", {{"reason", "a \"b\"\n\\c=d"}}),
            R"(severity=error event=failed reason="a \"b\"\x0a\\c=d")");
}

TEST_F(LogTest, WritesWarningsAndErrorsToGlogAndAllEventsToTheRing) {
  CollectingSink sink;
  const std::uint64_t before = processLogRing().appended();
  logEvent(Severity::Debug, "debugged");
  logEvent(Severity::Info, "informed");
  logEvent(Severity::Warning, "warned", {{"key", "value"}});
  logEvent(Severity::Error, "failed");
  EXPECT_EQ(processLogRing().appended(), before + 4);
  EXPECT_EQ(sink.messages, (std::vector<std::string>{"severity=warning event=warned key=value",
                                                     "severity=error event=failed"}));
  EXPECT_EQ(sink.severities, (std::vector<google::LogSeverity>{google::WARNING, google::ERROR}));
  const std::string last = processLogRing().lines().back();
  EXPECT_EQ(last.substr(0, 5), "time=");
  EXPECT_NE(last.find(" severity=error event=failed"), std::string::npos);
}

TEST_F(LogTest, DumpsTheRingWithItsReason) {
  LogRing ring;
  ring.append("one");
  ring.append("two");
  const auto path = ring.dumpTo(folder / "made" / "here", "fatal signal");
  const std::vector<std::string> lines = readLines(path);
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_NE(lines[0].find("reason=\"fatal signal\""), std::string::npos);
  EXPECT_EQ(lines[1], "one");
  EXPECT_EQ(lines[2], "two");
}

TEST_F(LogTest, ReplacesTheOldestOfABoundedNumberOfFiles) {
  LogRing ring;
  std::set<std::filesystem::path> paths;
  for (int number = 0; number < 3; ++number) {
    const auto path = ring.dumpTo(folder, "reason", 3);
    paths.insert(path);
    // Explicit times, since the file system's clock may be coarse.
    const auto now = std::filesystem::file_time_type::clock::now();
    std::filesystem::last_write_time(path, now - std::chrono::hours(10 - number));
  }
  EXPECT_EQ(paths.size(), 3U);
  EXPECT_EQ(ring.dumpTo(folder, "again", 3).filename(), "ring-0.log");
  EXPECT_EQ(ring.dumpTo(folder, "again", 3).filename(), "ring-1.log");
  const auto begin = std::filesystem::directory_iterator(folder);
  EXPECT_EQ(std::distance(begin, std::filesystem::directory_iterator()), 3);
}

TEST_F(LogTest, DumpToAnUnwritableFolderThrowsStorageFailed) {
  std::ofstream(folder / "file") << "not a folder";
  try {
    LogRing().dumpTo(folder / "file", "reason");
    FAIL() << "expected StorageFailed, since the path is a file";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::StorageFailed);
  }
}

TEST_F(LogTest, AppendIsThreadSafe) {
  constexpr int Threads = 8;
  constexpr int Lines = 2000;
  LogRing ring(100);
  std::vector<std::thread> threads;
  for (int thread = 0; thread < Threads; ++thread) {
    threads.emplace_back([&] {
      for (int line = 0; line < Lines; ++line) {
        ring.append("line");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(ring.appended(), static_cast<std::uint64_t>(Threads * Lines));
  EXPECT_EQ(ring.lines().size(), 100U);
}

}  // namespace
}  // namespace switchsaddle::base
