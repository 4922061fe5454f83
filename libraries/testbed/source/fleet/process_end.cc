#include "switchsaddle/testbed/fleet/process_end.h"

#include <sys/wait.h>

#include <cstring>

namespace switchsaddle::testbed {

ProcessEnd ProcessEnd::ofStatus(int status) {
  return WIFSIGNALED(status) ? killed(WTERMSIG(status)) : exited(WEXITSTATUS(status));
}

std::string ProcessEnd::text() const {
  if (!by_signal) {
    return "exit status " + std::to_string(number);
  }
  return "signal " + std::to_string(number) + " (" + ::strsignal(number) + ")";
}

}  // namespace switchsaddle::testbed
