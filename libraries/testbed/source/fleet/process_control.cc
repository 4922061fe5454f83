#include "switchsaddle/testbed/fleet/process_control.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/process_ends.h"

namespace switchsaddle::testbed {
namespace {

constexpr int ExecFailed = 127;
constexpr auto PollInterval = std::chrono::milliseconds(2);
/** Numbers of fields of /proc/PID/stat that are skipped between the state, the processor times and
 * the start time. */
constexpr int FieldsBetweenStateAndTimes = 10;
constexpr int FieldsBetweenTimesAndStart = 6;

/** The fields of /proc/PID/stat that are used here. */
struct ProcessStat {
  char state = 'X';
  std::uint64_t used_ticks = 0;
  std::uint64_t start_ticks = 0;
};

/** Returns state 'X' if there is no such process. */
ProcessStat readStat(std::int64_t pid) {
  ProcessStat stat;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) {
    return stat;
  }
  std::istringstream fields(text.substr(name_end + 1));
  const auto skip = [&fields](int count) {
    std::string skipped;
    for (int field = 0; field < count; ++field) {
      fields >> skipped;
    }
  };
  std::uint64_t user_ticks = 0;
  std::uint64_t system_ticks = 0;
  fields >> stat.state;
  skip(FieldsBetweenStateAndTimes);
  fields >> user_ticks >> system_ticks;
  skip(FieldsBetweenTimesAndStart);
  fields >> stat.start_ticks;
  stat.used_ticks = user_ticks + system_ticks;
  return stat;
}

/** What is launched: a program, its log and its limits. */
struct Launch {
  const std::vector<std::string>& command;
  const std::string& log_path;
  const LaunchLimits& limits;
};

void setLimit(int resource, std::uint64_t value) {
  if (value > 0) {
    const rlimit limit{value, value};
    ::setrlimit(static_cast<__rlimit_resource>(resource), &limit);
  }
}

void blockHangups() {
  sigset_t hangup;
  ::sigemptyset(&hangup);
  ::sigaddset(&hangup, SIGHUP);
  ::sigprocmask(SIG_BLOCK, &hangup, nullptr);
}

[[noreturn]] void runProgram(const Launch& launch) {
  const auto& [command, log_path, limits] = launch;
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int null_device = ::open("/dev/null", O_RDONLY);
  ::dup2(null_device, STDIN_FILENO);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // Listening sockets of the caller would keep their addresses in use after it has ended.
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  setLimit(RLIMIT_AS, limits.address_space_bytes);
  setLimit(RLIMIT_NOFILE, limits.descriptors);
  if (limits.hangups_wait) {
    blockHangups();
  }
  ::execv(arguments[0], arguments.data());
  ::_exit(ExecFailed);
}

/** Waits until the new process has closed its end: it runs its program, or has ended. */
void waitForEndOfPipe(int pipe_end) {
  char byte = 0;
  while (::read(pipe_end, &byte, 1) > 0) {
  }
}

/** Runs in the intermediate process: starts a new session, forks the program and writes its pid to
 * `report`. */
[[noreturn]] void forkProgram(const Launch& launch, int report) {
  ::setsid();
  const pid_t program = ::fork();
  if (program == 0) {
    runProgram(launch);
  }
  const ssize_t written = ::write(report, &program, sizeof(program));
  ::_exit(written == sizeof(program) ? 0 : 1);
}

}  // namespace

ProcessIdentity launchDetached(const std::vector<std::string>& command, const std::string& log_path,
                               const LaunchLimits& limits) {
  if (command.empty() || ::access(command[0].c_str(), X_OK) != 0) {
    throw base::Error(
        base::ResultCode::StorageFailed,
        "not an executable file: " + (command.empty() ? "(empty command)" : command[0]));
  }
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw base::Error(base::ResultCode::StorageFailed,
                      "cannot create a pipe for the pid of a new process");
  }
  const pid_t intermediate = ::fork();
  if (intermediate == 0) {
    forkProgram({command, log_path, limits}, pipe_ends[1]);
  }
  ::close(pipe_ends[1]);
  pid_t program = -1;
  const ssize_t taken = intermediate > 0 ? ::read(pipe_ends[0], &program, sizeof(program)) : 0;
  if (taken == sizeof(program)) {
    waitForEndOfPipe(pipe_ends[0]);
  }
  ::close(pipe_ends[0]);
  if (intermediate > 0) {
    ::waitpid(intermediate, nullptr, 0);
  }
  if (taken != sizeof(program) || program <= 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot start " + command[0]);
  }
  const ProcessIdentity identity{program, readStat(program).start_ticks};
  processEnds().onLaunch(std::filesystem::path(log_path).stem().string(), identity);
  return identity;
}

base::Duration cpuTimeOf(const ProcessIdentity& process) {
  const ProcessStat stat = readStat(process.pid);
  if (stat.start_ticks != process.start_ticks) {
    return base::Duration::zero();
  }
  const auto ticks_per_second = static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
  return std::chrono::milliseconds(stat.used_ticks * 1'000 / ticks_per_second);
}

ProcessCondition conditionOf(const ProcessIdentity& process) {
  if (process.pid <= 0) {
    return ProcessCondition::Exited;
  }
  const ProcessStat stat = readStat(process.pid);
  if (stat.start_ticks != process.start_ticks || stat.state == 'X' || stat.state == 'Z') {
    return ProcessCondition::Exited;
  }
  return stat.state == 'T' ? ProcessCondition::Stopped : ProcessCondition::Running;
}

bool protectsItselfFrom(const ProcessIdentity& process, int signal_number) {
  constexpr int HexadecimalBase = 16;
  const std::uint64_t signal_bit = std::uint64_t{1} << static_cast<unsigned>(signal_number - 1);
  std::ifstream file("/proc/" + std::to_string(process.pid) + "/status");
  std::string name;
  std::string value;
  while (file >> name) {
    const bool is_mask = name == "SigBlk:" || name == "SigIgn:" || name == "SigCgt:";
    if (is_mask && file >> value &&
        (std::stoull(value, nullptr, HexadecimalBase) & signal_bit) != 0) {
      return conditionOf(process) != ProcessCondition::Exited;
    }
  }
  return false;
}

bool sendSignal(const ProcessIdentity& process, int signal_number) {
  if (conditionOf(process) == ProcessCondition::Exited) {
    return false;
  }
  processEnds().onSignal(process, signal_number);
  return ::kill(static_cast<pid_t>(process.pid), signal_number) == 0;
}

bool waitForCondition(const ProcessIdentity& process, ProcessCondition condition,
                      base::Duration limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (conditionOf(process) != condition) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

}  // namespace switchsaddle::testbed
