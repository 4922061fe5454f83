#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <initializer_list>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::base {

/**
 * Severity of a logged event. Events from Notice on are also written to the process's log; a notice
 * informs operators of normal operation.
 */
enum class Severity : std::uint8_t { Debug, Info, Notice, Warning, Error };

/** A key and value of a logged event. */
struct LogField {
  std::string_view key;
  std::string value;
};

/**
 * Ring buffer of the process's most recent log lines. Limited in the number of lines and the length
 * of each. Thread-safe.
 */
class LogRing {
 public:
  static constexpr std::size_t DefaultLines = 10'000;
  /** Longer lines are truncated. */
  static constexpr std::size_t MaximumLineBytes = 2048;
  static constexpr std::size_t DefaultFiles = 8;

  /** @param lines maximum number of lines. */
  explicit LogRing(std::size_t lines = DefaultLines) : capacity_(lines) {}

  /** Appends a line; the oldest is dropped if the ring is full. */
  void append(std::string line);
  /** @return the lines, oldest first. */
  std::vector<std::string> lines() const;
  /**
   * Writes the lines to an open file; async-signal-safe. If the ring is locked, by another thread
   * or the interrupted one, a message that says so is written instead.
   */
  void writeFromSignal(int file) const;
  /**
   * Writes the last lines in the same way.
   * @param most maximum number of lines.
   * @param may_write asked before each line; the rest is left out once it returns false.
   */
  void writeFromSignal(int file, std::size_t most, bool (*may_write)(int file)) const;
  /** @return the number of lines ever appended, including those dropped. */
  std::uint64_t appended() const;

  /**
   * Writes the ring to `ring-N.log`, with N from 0 to files - 1. Uses the first number without a
   * file; if there is none, replaces the file modified longest ago.
   * @param folder created if missing.
   * @param reason stated in the first line.
   * @return the path of the file.
   * @throws Error with StorageFailed if the file cannot be written.
   */
  std::filesystem::path dumpTo(const std::filesystem::path& folder, std::string_view reason,
                               std::size_t files = DefaultFiles) const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::deque<std::string> lines_;
  std::uint64_t appended_ = 0;
};

/** @return the ring that logEvent() writes to. */
LogRing& processLogRing();

/**
 * Logs one event as the line `time=… severity=… event=NAME key=value …` to the process's ring and,
 * from Severity::Notice on, to glog. Values with spaces, quotes or control characters are quoted
 * and escaped. Thread-safe.
 */
void logEvent(Severity severity, std::string_view event,
              std::initializer_list<LogField> fields = {});
/** Overload for fields composed at run time; those with an empty value are omitted. */
void logEvent(Severity severity, std::string_view event, const std::vector<LogField>& fields);

/** @return the line of an event without its time. */
std::string formatEvent(Severity severity, std::string_view event,
                        std::span<const LogField> fields);
/** @return the line of an event without its time. */
std::string formatEvent(Severity severity, std::string_view event,
                        std::initializer_list<LogField> fields);

}  // namespace switchsaddle::base
