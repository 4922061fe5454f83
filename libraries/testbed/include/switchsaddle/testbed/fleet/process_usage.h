#pragma once

#include <cstddef>
#include <optional>

#include "switchsaddle/testbed/fleet/process_control.h"

namespace switchsaddle::testbed {

/** What a process holds of its machine. */
struct ProcessUsage {
  /** The largest resident memory since the process started, in bytes. */
  std::size_t peak_memory_bytes = 0;
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
  /** Bytes that have arrived on its connections, those that it has not accepted yet among them, and
   * that it has not read. */
  std::size_t unread_bytes = 0;
  /** Bytes that it has written and that its peers have not acknowledged. */
  std::size_t unsent_bytes = 0;
};

/** @return the usage, or std::nullopt if the process has exited. */
std::optional<ProcessUsage> usageOf(const ProcessIdentity& process);

}  // namespace switchsaddle::testbed
