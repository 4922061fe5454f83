#include "switchsaddle/base/crash_dump.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>

#include "switchsaddle/base/log_writer.h"

namespace switchsaddle::base {

namespace {

constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr mode_t FileMode = 0640;
/** Lines of the ring that are written to the standard error output. */
constexpr std::size_t LinesToStandardError = 50;
/** Stack of the handler, since an overflow of the ordinary one is among the faults. */
constexpr std::size_t HandlerStackBytes = 64U << 10U;

/** State of the signal handlers; set once, before they are installed. */
const LogRing* crash_ring = nullptr;
/** Path of the dump; null if there is no folder for it. */
std::string* crash_path = nullptr;
std::atomic<bool> crash_written{false};

std::string_view signalName(int signal) {
  switch (signal) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    default:
      return "SIGABRT";
  }
}

void writeText(int file, std::string_view text) {
  // The result is ignored, since a signal handler cannot report a failure.
  [[maybe_unused]] const ssize_t written = ::write(file, text.data(), text.size());
}

void writeDump(int signal) {
  const int file = ::open(crash_path->c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
  if (file < 0) {
    return;
  }
  writeText(file, "reason=");
  writeText(file, signalName(signal));
  writeText(file, "\n");
  crash_ring->writeFromSignal(file);
  ::close(file);
}

/** @return whether a line can be written without waiting for a reader. */
bool isWritable(int file) {
  pollfd request{file, POLLOUT, 0};
  return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

void writeToStandardError(int signal) {
  if (!isWritable(STDERR_FILENO)) {
    return;
  }
  writeText(STDERR_FILENO, "severity=error event=crashed signal=");
  writeText(STDERR_FILENO, signalName(signal));
  writeText(STDERR_FILENO, "\n");
  crash_ring->writeFromSignal(STDERR_FILENO, LinesToStandardError, isWritable);
}

/** Writes the ring and raises the signal again; SA_RESETHAND has restored its default action. */
void onFatalSignal(int signal) {
  if (!crash_written.exchange(true)) {
    writeToStandardError(signal);
    if (crash_path != nullptr) {
      writeDump(signal);
    }
  }
  ::raise(signal);
}

void useOwnStackForHandlers() {
  static std::array<char, HandlerStackBytes> bytes;
  stack_t stack{};
  stack.ss_sp = bytes.data();
  stack.ss_size = bytes.size();
  ::sigaltstack(&stack, nullptr);
}

std::string terminationReason() {
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return "terminate was called without an exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

/** Logs the reason, so that the dump written on SIGABRT contains it. */
[[noreturn]] void onTerminate() {
  logEvent(Severity::Error, "terminating", {{"reason", terminationReason()}});
  flushProcessLog();
  std::abort();
}

}  // namespace

void installCrashDump(const LogRing& ring, const std::filesystem::path& folder) {
  crash_ring = &ring;
  if (!folder.empty()) {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    // Never freed: the handler may run while static objects are destroyed.
    crash_path = new std::string((folder / CrashFileName).string());
  }
  useOwnStackForHandlers();
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  action.sa_flags = SA_RESETHAND | SA_NODEFER | SA_ONSTACK;
  sigemptyset(&action.sa_mask);
  for (const int signal : FatalSignals) {
    sigaction(signal, &action, nullptr);
  }
  std::set_terminate(onTerminate);
}

}  // namespace switchsaddle::base
