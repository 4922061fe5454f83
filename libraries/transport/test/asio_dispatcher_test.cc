#include "switchsaddle/transport/asio_dispatcher.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <array>

#include "switchsaddle/transport/system_boot_clock.h"

namespace switchsaddle::transport {
namespace {

constexpr int LimitMilliseconds = 20'000;

base::Duration bootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

TEST(AsioDispatcherTest, ReadsTheBootClock) {
  boost::asio::io_context context;
  const AsioDispatcher dispatcher(context);
  const base::Duration before = bootTime();
  const base::Duration elapsed = dispatcher.now().time_since_epoch();
  EXPECT_GE(elapsed, before);
  EXPECT_LE(elapsed, bootTime());
}

TEST(AsioDispatcherTest, LimitsTheWaitBetweenClockReads) {
  const base::TimePoint far = SystemBootClock::now() + std::chrono::hours(1);
  EXPECT_EQ(BootWaitTraits::to_wait_duration(far), BootWaitTraits::MaximumWait);
  EXPECT_EQ(BootWaitTraits::to_wait_duration(std::chrono::milliseconds(1)),
            std::chrono::milliseconds(1));
}

/** Child process: writes a byte when it is ready and another when its timer fires. */
[[noreturn]] void runChild(int pipe_end) {
  boost::asio::io_context context;
  AsioDispatcher dispatcher(context);
  const auto timer = dispatcher.createTimer([&] {
    const bool written = write(pipe_end, "t", 1) == 1;
    _exit(written ? 0 : 1);
  });
  timer->enable(std::chrono::milliseconds(300));
  if (write(pipe_end, "r", 1) != 1) {
    _exit(1);
  }
  context.run();
  _exit(1);
}

bool readByte(int pipe_end, int limit_milliseconds, char& byte) {
  pollfd ready{pipe_end, POLLIN, 0};
  return poll(&ready, 1, limit_milliseconds) == 1 && read(pipe_end, &byte, 1) == 1;
}

TEST(AsioDispatcherTest, TimersThatExpireWhileTheProcessIsStoppedFireWhenItContinues) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    runChild(ends[1]);
  }
  char byte = 0;
  ASSERT_TRUE(readByte(ends[0], LimitMilliseconds, byte));
  EXPECT_EQ(byte, 'r');
  kill(child, SIGSTOP);
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, WUNTRACED), child);
  // On a busy machine the timer may fire before the signal arrives, which leaves nothing to test.
  if (WIFSTOPPED(status)) {
    readByte(ends[0], 400, byte);
    kill(child, SIGCONT);
    ASSERT_EQ(waitpid(child, &status, 0), child);
  }
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace switchsaddle::transport
