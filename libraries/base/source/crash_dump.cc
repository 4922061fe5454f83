#include "switchsaddle/base/crash_dump.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>

namespace switchsaddle::base {

namespace {

constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr mode_t FileMode = 0640;

/** What the handler reads; set once, before the handlers are installed. */
const LogRing* crash_ring = nullptr;
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
  // Nothing can be done about a failure here.
  [[maybe_unused]] const ssize_t written = ::write(file, text.data(), text.size());
}

/** The default action of the signal follows, since the handler is reset on entry. */
void onFatalSignal(int signal) {
  if (!crash_written.exchange(true)) {
    const int file =
        ::open(crash_path->c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
    if (file >= 0) {
      writeText(file, "reason=");
      writeText(file, signalName(signal));
      writeText(file, "\n");
      crash_ring->writeFromSignal(file);
      ::close(file);
    }
  }
  ::raise(signal);
}

[[noreturn]] void onTerminate() {
  std::string reason = "terminate was called without an exception";
  if (const std::exception_ptr present = std::current_exception()) {
    try {
      std::rethrow_exception(present);
    } catch (const std::exception& exception) {
      reason = exception.what();
    } catch (...) {
      reason = "an exception of an unknown type";
    }
  }
  logEvent(Severity::Error, "terminating", {{"reason", reason}});
  std::abort();
}

}  // namespace

void installCrashDump(const LogRing& ring, const std::filesystem::path& folder) {
  if (folder.empty()) {
    return;
  }
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  crash_ring = &ring;
  // Never freed: the handler may run while the process's statics are being destroyed.
  crash_path = new std::string((folder / CrashFileName).string());
  struct sigaction action {};
  action.sa_handler = onFatalSignal;
  action.sa_flags = SA_RESETHAND | SA_NODEFER;
  sigemptyset(&action.sa_mask);
  for (const int signal : FatalSignals) {
    sigaction(signal, &action, nullptr);
  }
  std::set_terminate(onTerminate);
}

}  // namespace switchsaddle::base
