#include "process_surroundings.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string_view>

namespace switchsaddle {

namespace {

/** Signals that are orders to a daemon. */
constexpr std::array Orders{SIGTERM, SIGINT, SIGHUP};
/**
 * Signals that by default would end or stop the process although nobody wants it to end: written to
 * a pipe without reader, or past a limit on file sizes; timers and hints of programs that know
 * another daemon.
 */
constexpr std::array NoOrders{SIGPIPE,   SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM,
                              SIGVTALRM, SIGPROF, SIGIO,   SIGPWR,  SIGTTOU};

template <std::size_t Size>
sigset_t setOf(const std::array<int, Size>& signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  return set;
}

void ignoreSignals() {
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  for (const int signal : NoOrders) {
    ::sigaction(signal, &ignore, nullptr);
  }
}

/** A file opened later would else get one of their numbers, and be written the log. */
void openStandardDescriptors() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(descriptor, F_GETFD) < 0) {
      // Gets the lowest free number, which is this one.
      [[maybe_unused]] const int opened = ::open("/dev/null", O_RDWR);
    }
  }
}

/** What the system calls before the constructors of the program and its libraries. */
using PreinitFunction = void (*)(int, char**, char**);

/** Takes over the surroundings of a daemon; those of an operator's command stay as they are. */
void takeOverEarly(int argument_count, char** arguments, char** /*environment*/) {
  const std::string_view role = argument_count > 1 ? arguments[1] : "";
  if (role == "front" || role == "core") {
    takeOverSurroundings();
  }
}

// Constructors take milliseconds on a busy machine, in which a SIGHUP would end the process.
__attribute__((section(".preinit_array"), used)) const PreinitFunction BeforeConstructors =
    takeOverEarly;

}  // namespace

void holdSignals() {
  const sigset_t orders = setOf(Orders);
  ::sigprocmask(SIG_BLOCK, &orders, nullptr);
}

void takeOverSurroundings() {
  holdSignals();
  ignoreSignals();
  openStandardDescriptors();
}

void takeSignals() {
  sigset_t all;
  sigfillset(&all);
  ::sigprocmask(SIG_UNBLOCK, &all, nullptr);
}

}  // namespace switchsaddle
