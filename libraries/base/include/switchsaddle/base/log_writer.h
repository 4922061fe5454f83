#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "switchsaddle/base/time.h"

namespace switchsaddle::base {

/** What a LogWriter did with its lines so far. */
struct LogWriterCounters {
  std::uint64_t written = 0;
  /** Lines that found the queue full, since the reader of the log is slow. */
  std::uint64_t dropped = 0;
  /** Lines that the descriptor refused, since the reader is gone or the disk is full. */
  std::uint64_t refused = 0;
};

/**
 * Writes lines to a descriptor on a thread of its own. Invariant: no caller waits for the reader of
 * the log. Lines beyond a bound are dropped and counted; once there is room again, a line says how
 * many. Thread-safe.
 */
class LogWriter {
 public:
  static constexpr std::size_t DefaultQueueBytes = std::size_t{256} << 10U;

  /**
   * @param descriptor stays open as long as the process.
   * @param queue_bytes bound on the lines that wait.
   */
  explicit LogWriter(int descriptor, std::size_t queue_bytes = DefaultQueueBytes);
  /** Does not wait for lines that the descriptor does not take. */
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /** @param line without its end. */
  void write(std::string line);
  /** Waits until all lines are written. @return false if the limit passes before. */
  bool flush(Duration limit);
  LogWriterCounters counters() const;

 private:
  struct State;

  /** Shared with the thread, which may outlive this object in a write that does not return. */
  std::shared_ptr<State> state_;
};

/**
 * From now on the log of this process, also glog's, is written to standard error by a LogWriter; if
 * there can be no thread, as before. Called once, before other threads write to the log.
 */
void writeLogOnThread();

/** Counters of the process's LogWriter; all zero if there is none. */
LogWriterCounters processLogCounters();

/** Writes the line to the process's log as it is. */
void writeLogLine(const std::string& line);

/** Waits a moment for lines that are still to be written, before the process ends. */
void flushProcessLog();

}  // namespace switchsaddle::base
