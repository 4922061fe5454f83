#include "switchsaddle/base/log_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <utility>

namespace switchsaddle::base {
namespace {

constexpr Duration Limit = std::chrono::seconds(30);
constexpr Duration Moment = std::chrono::milliseconds(1);

/** A pipe of one page, whose reader the test is. */
class LogWriterTest : public testing::Test {
 protected:
  LogWriterTest() {
    EXPECT_EQ(::pipe2(ends_.data(), O_CLOEXEC), 0);
    ::fcntl(ends_[1], F_SETPIPE_SZ, 4'096);
    ::signal(SIGPIPE, SIG_IGN);
  }
  ~LogWriterTest() override {
    closeReader();
    ::signal(SIGPIPE, SIG_DFL);
  }

  void closeReader() {
    if (ends_[0] >= 0) {
      ::close(std::exchange(ends_[0], -1));
    }
  }
  /** Reads until the text is seen. @return all that was read. */
  std::string readUntil(const std::string& text) const {
    std::string read;
    while (read.find(text) == std::string::npos) {
      std::array<char, 1'024> bytes{};
      const ssize_t count = ::read(ends_[0], bytes.data(), bytes.size());
      if (count <= 0) {
        break;
      }
      read.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return read;
  }

  std::array<int, 2> ends_{-1, -1};
};

TEST_F(LogWriterTest, WritesLinesInOrder) {
  LogWriter writer(ends_[1]);
  writer.write("first");
  writer.write("second");
  EXPECT_TRUE(writer.flush(Limit));
  EXPECT_EQ(readUntil("second\n"), "first\nsecond\n");
  EXPECT_EQ(writer.counters().written, 2U);
}

TEST_F(LogWriterTest, ALogThatIsNotReadHoldsUpNoCallerAndLosesCountedLines) {
  constexpr std::size_t QueueBytes = 10'000;
  constexpr int Lines = 1'000;
  LogWriter writer(ends_[1], QueueBytes);
  for (int line = 0; line < Lines; ++line) {
    writer.write(std::string(100, 'x'));
  }
  EXPECT_FALSE(writer.flush(Moment));
  const std::uint64_t dropped = writer.counters().dropped;
  EXPECT_GT(dropped, 0U);
  const std::string told = "event=log-lines-dropped count=" + std::to_string(dropped) + "\n";
  EXPECT_NE(readUntil(told).find(told), std::string::npos);
}

TEST_F(LogWriterTest, AReaderThatIsGoneCostsLinesOnly) {
  LogWriter writer(ends_[1]);
  closeReader();
  writer.write("lost");
  EXPECT_TRUE(writer.flush(Limit));
  EXPECT_EQ(writer.counters().refused, 1U);
}

TEST_F(LogWriterTest, ANonBlockingDescriptorIsWaitedFor) {
  ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
  LogWriter writer(ends_[1]);
  for (int line = 0; line < 100; ++line) {
    writer.write(std::string(100, 'x'));
  }
  writer.write("last");
  EXPECT_NE(readUntil("last").find("last"), std::string::npos);
  EXPECT_TRUE(writer.flush(Limit));
  EXPECT_EQ(writer.counters().refused, 0U);
}

}  // namespace
}  // namespace switchsaddle::base
