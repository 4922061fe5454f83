#include "switchsaddle/testbed/fleet/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "switchsaddle/base/error.h"

namespace switchsaddle::testbed {
namespace {

constexpr int ExecFailed = 127;

[[noreturn]] void runProgram(const std::vector<char*>& arguments, const ChildPreparation& prepare) {
  // Other descriptors of the caller, such as listening sockets, do not belong to the program.
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  prepare();
  ::execv(arguments[0], arguments.data());
  ::_exit(ExecFailed);
}

std::vector<char*> argumentsOf(const std::vector<std::string>& command) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  return arguments;
}

/** Waits until the new process has closed its end: it runs its program, or has ended. */
void waitForExec(int pipe_end) {
  char byte = 0;
  while (::read(pipe_end, &byte, 1) > 0) {
  }
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const ChildPreparation& prepare) {
  const std::vector<char*> arguments = argumentsOf(command);
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot create a pipe");
  }
  pid_ = ::fork();
  if (pid_ == 0) {
    runProgram(arguments, prepare);
  }
  ::close(pipe_ends[1]);
  waitForExec(pipe_ends[0]);
  ::close(pipe_ends[0]);
  if (pid_ < 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot start " + command.front());
  }
}

ChildProcess::~ChildProcess() {
  if (!end_) {
    signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void ChildProcess::signal(int number) const {
  if (!end_) {
    ::kill(pid_, number);
  }
}

std::optional<ProcessEnd> ChildProcess::waitForEnd(base::Duration limit) {
  if (end_) {
    return end_;
  }
  const auto descriptor = static_cast<int>(::syscall(SYS_pidfd_open, pid_, 0));
  pollfd ended{descriptor, POLLIN, 0};
  const int ready = ::poll(&ended, 1, static_cast<int>(base::toMilliseconds(limit)));
  ::close(descriptor);
  int status = 0;
  if (ready == 1 && ::waitpid(pid_, &status, 0) == pid_) {
    end_ = ProcessEnd::ofStatus(status);
  }
  return end_;
}

}  // namespace switchsaddle::testbed
