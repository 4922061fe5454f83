#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Identifies a process. The start time distinguishes it from a later process with the same pid. */
struct ProcessIdentity {
  std::int64_t pid = 0;
  /** Start time from /proc, in clock ticks since boot. */
  std::uint64_t start_ticks = 0;
};

/** The state of a process. */
enum class ProcessCondition : std::uint8_t { Exited, Running, Stopped };

/** What the system lets a program use; 0 leaves a limit as it is. */
struct LaunchLimits {
  std::uint64_t address_space_bytes = 0;
  std::uint64_t descriptors = 0;
  /** Whether SIGHUP waits until the program has started, as docs/OPERATIONS.md advises. */
  bool hangups_wait = false;
};

/**
 * Starts a program in its own session, so that it outlives the caller, and appends its output to a
 * log file. Throws base::Error with StorageFailed if the program cannot be started.
 */
ProcessIdentity launchDetached(const std::vector<std::string>& command, const std::string& log_path,
                               const LaunchLimits& limits = {});

/** User and system processor time that the process has used; zero if it has exited. */
base::Duration cpuTimeOf(const ProcessIdentity& process);

/** The state of the process; a zombie counts as exited. */
ProcessCondition conditionOf(const ProcessIdentity& process);

/** Sends a signal to this process only; returns false if it has exited. */
bool sendSignal(const ProcessIdentity& process, int signal_number);

/**
 * Whether the process blocks, handles or ignores the signal. Before its first instruction, while
 * the system loads its libraries, no program can.
 */
bool protectsItselfFrom(const ProcessIdentity& process, int signal_number);

/** Waits until the process has the condition; returns false if `limit` passes first. */
bool waitForCondition(const ProcessIdentity& process, ProcessCondition condition,
                      base::Duration limit);

}  // namespace switchsaddle::testbed
