#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Which process is meant: a pid alone may have been given to another one since. */
struct ProcessIdentity {
  std::int64_t pid = 0;
  /** Start time from /proc, in clock ticks after boot. */
  std::uint64_t start_ticks = 0;
};

/** How a process stands. */
enum class ProcessCondition : std::uint8_t { Exited, Running, Stopped };

/**
 * Starts a program in a session of its own, with its output appended to a log file, so that it
 * outlives the caller. Throws base::Error with StorageFailed where it can't be started.
 */
ProcessIdentity launchDetached(const std::vector<std::string>& command,
                               const std::string& log_path);

/** Processor time that the process has used, user and system; zero where it is gone. */
base::Duration cpuTimeOf(const ProcessIdentity& process);

/** Exited processes that nobody reaped count as gone. */
ProcessCondition conditionOf(const ProcessIdentity& process);

/** Sends a signal to just this process; false where it is gone. */
bool sendSignal(const ProcessIdentity& process, int signal_number);

/** Waits until the process has the condition; false where `limit` passed first. */
bool waitForCondition(const ProcessIdentity& process, ProcessCondition condition,
                      base::Duration limit);

}  // namespace switchsaddle::testbed
