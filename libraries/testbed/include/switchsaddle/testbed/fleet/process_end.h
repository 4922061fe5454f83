#pragma once

#include <string>

namespace switchsaddle::testbed {

/** How a process ended, as the kernel tells its parent. */
struct ProcessEnd {
  bool by_signal = false;
  /** The signal's number, or the exit status. */
  int number = 0;

  /** @param status as waitpid() returns it, of a process that has ended. */
  static ProcessEnd ofStatus(int status);
  static ProcessEnd exited(int status) { return {false, status}; }
  static ProcessEnd killed(int signal_number) { return {true, signal_number}; }
  /** @return such as "exit status 1" or "signal 13 (Broken pipe)". */
  std::string text() const;

  bool operator==(const ProcessEnd&) const = default;
};

}  // namespace switchsaddle::testbed
