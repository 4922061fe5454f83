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
 * How serious a logged event is. Notices, which an operator must see though nothing is wrong, and
 * what is above them also go to the process's log.
 */
enum class Severity : std::uint8_t { Debug, Info, Notice, Warning, Error };

/** One named value of an event. */
struct LogField {
  std::string_view key;
  std::string value;
};

/**
 * The last events of a process as key=value lines in memory, oldest first, bounded in lines and in
 * the bytes of each line. Thread-safe.
 */
class LogRing {
 public:
  static constexpr std::size_t DefaultLines = 10'000;
  static constexpr std::size_t LongestLine = 2048;
  static constexpr std::size_t DefaultFiles = 8;

  explicit LogRing(std::size_t lines = DefaultLines) : capacity_(lines) {}

  void append(std::string line);
  std::vector<std::string> lines() const;
  /**
   * Writes the lines to an open file without allocating memory, for a signal's handler. Where
   * another thread holds the ring, or this one was stopped within it, says so in place of them.
   */
  void writeFromSignal(int file) const;
  /** Lines appended since the ring was made, with those that have fallen out. */
  std::uint64_t appended() const;

  /**
   * Writes the ring to `ring-N.log` in the folder, which is made where it is missing, and returns
   * the file. N goes round from 0 to files - 1, so that the oldest file is replaced; a process that
   * starts again goes on after the newest. The first line names the reason. Throws Error with
   * StorageFailed where the file cannot be written.
   */
  std::filesystem::path dumpTo(const std::filesystem::path& folder, std::string_view reason,
                               std::size_t files = DefaultFiles) const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::deque<std::string> lines_;
  std::uint64_t appended_ = 0;
};

/** The ring that logEvent() writes to. */
LogRing& processLogRing();

/**
 * One line, `time=… severity=… event=NAME key=value …`, to the process's ring and, for notices and
 * above, to glog. Values with spaces, quotes or control characters are quoted and escaped.
 */
void logEvent(Severity severity, std::string_view event,
              std::initializer_list<LogField> fields = {});
/** The same with fields put together at run time; those without a value are left out. */
void logEvent(Severity severity, std::string_view event, const std::vector<LogField>& fields);

/** The line without its time, for logEvent() and for tests. */
std::string formatEvent(Severity severity, std::string_view event,
                        std::span<const LogField> fields);
std::string formatEvent(Severity severity, std::string_view event,
                        std::initializer_list<LogField> fields);

}  // namespace switchsaddle::base
