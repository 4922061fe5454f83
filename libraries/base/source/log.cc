#include "switchsaddle/base/log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <optional>

#include "switchsaddle/base/error.h"

namespace switchsaddle::base {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

std::string_view severityName(Severity severity) {
  static constexpr std::array<std::string_view, 5> Names{"debug", "info", "notice", "warning",
                                                         "error"};
  return Names.at(static_cast<std::size_t>(severity));
}

bool isControl(char character) {
  return static_cast<unsigned char>(character) < 0x20U || character == 0x7f;
}

bool needsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char character) {
           return character == ' ' || character == '"' || character == '=' || character == '\\' ||
                  isControl(character);
         });
}

void appendEscaped(std::string& out, char character) {
  if (character == '"' || character == '\\') {
    out += '\\';
    out += character;
  } else if (isControl(character)) {
    const auto byte = static_cast<unsigned char>(character);
    out += "\\x";
    out += HexDigits[byte >> 4U];
    out += HexDigits[byte & 0x0fU];
  } else {
    out += character;
  }
}

void appendValue(std::string& out, std::string_view value) {
  if (!needsQuotes(value)) {
    out += value;
    return;
  }
  out += '"';
  for (const char character : value) {
    appendEscaped(out, character);
  }
  out += '"';
}

std::string wallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::filesystem::path fileName(const std::filesystem::path& folder, std::size_t number) {
  return folder / ("ring-" + std::to_string(number) + ".log");
}

/** @return the first number without a file, else that of the file modified longest ago. */
std::size_t nextNumber(const std::filesystem::path& folder, std::size_t files) {
  std::size_t oldest = 0;
  std::optional<std::filesystem::file_time_type> oldest_time;
  for (std::size_t number = 0; number < files; ++number) {
    std::error_code missing;
    const auto time = std::filesystem::last_write_time(fileName(folder, number), missing);
    if (missing) {
      return number;
    }
    if (!oldest_time || time < *oldest_time) {
      oldest_time = time;
      oldest = number;
    }
  }
  return oldest;
}

/** Async-signal-safe. Stops at the first error, which a signal handler cannot report. */
void writeAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

}  // namespace

void LogRing::append(std::string line) {
  if (line.size() > MaximumLineBytes) {
    line.resize(MaximumLineBytes);
  }
  const std::scoped_lock lock(mutex_);
  ++appended_;
  lines_.push_back(std::move(line));
  if (lines_.size() > capacity_) {
    lines_.pop_front();
  }
}

std::vector<std::string> LogRing::lines() const {
  const std::scoped_lock lock(mutex_);
  return {lines_.begin(), lines_.end()};
}

void LogRing::writeFromSignal(int file) const {
  writeFromSignal(file, capacity_, [](int) { return true; });
}

void LogRing::writeFromSignal(int file, std::size_t most, bool (*may_write)(int file)) const {
  constexpr std::string_view Busy = "log ring not written: it was locked when the signal arrived\n";
  constexpr std::string_view LineEnd = "\n";
  const std::unique_lock lock(mutex_, std::try_to_lock);
  if (!lock.owns_lock()) {
    writeAll(file, Busy);
    return;
  }
  for (std::size_t index = lines_.size() - std::min(most, lines_.size()); index < lines_.size();
       ++index) {
    if (!may_write(file)) {
      return;
    }
    writeAll(file, lines_[index]);
    writeAll(file, LineEnd);
  }
}

std::uint64_t LogRing::appended() const {
  const std::scoped_lock lock(mutex_);
  return appended_;
}

std::filesystem::path LogRing::dumpTo(const std::filesystem::path& folder, std::string_view reason,
                                      std::size_t files) const {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  std::filesystem::path path =
      fileName(folder, nextNumber(folder, std::max<std::size_t>(files, 1)));
  std::ofstream file(path, std::ios::trunc);
  std::string head = "reason=";
  appendValue(head, reason);
  file << "time=" << wallClockMilliseconds() << ' ' << head << '\n';
  for (const std::string& line : lines()) {
    file << line << '\n';
  }
  file.close();
  if (!file) {
    throw Error(ResultCode::StorageFailed, "cannot write " + path.string());
  }
  return path;
}

LogRing& processLogRing() {
  static LogRing ring;
  return ring;
}

std::string formatEvent(Severity severity, std::string_view event,
                        std::span<const LogField> fields) {
  std::string line = "severity=";
  line += severityName(severity);
  line += " event=";
  appendValue(line, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    appendValue(line, field.value);
  }
  return line;
}

std::string formatEvent(Severity severity, std::string_view event,
                        std::initializer_list<LogField> fields) {
  return formatEvent(severity, event, std::span(fields.begin(), fields.size()));
}

namespace {

void logLine(Severity severity, const std::string& line) {
  processLogRing().append("time=" + wallClockMilliseconds() + " " + line);
  if (severity == Severity::Notice) {
    LOG(INFO) << line;
  } else if (severity == Severity::Warning) {
    LOG(WARNING) << line;
  } else if (severity == Severity::Error) {
    LOG(ERROR) << line;
  }
}

}  // namespace

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields) {
  logLine(severity, formatEvent(severity, event, fields));
}

void logEvent(Severity severity, std::string_view event, const std::vector<LogField>& fields) {
  std::vector<LogField> present;
  std::copy_if(fields.begin(), fields.end(), std::back_inserter(present),
               [](const LogField& field) { return !field.value.empty(); });
  logLine(severity, formatEvent(severity, event, present));
}

}  // namespace switchsaddle::base
