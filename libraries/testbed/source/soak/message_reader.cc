#include "switchsaddle/testbed/soak/message_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace switchsaddle::testbed {
namespace {

using TimePoint = BlockingSocket::Clock::time_point;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t MaximumLineBytes = 64U << 10U;
constexpr int Decimal = 10;
constexpr int Hexadecimal = 16;

bool sameName(std::string_view first, std::string_view second) {
  return std::ranges::equal(first, second, [](unsigned char left, unsigned char right) {
    return std::tolower(left) == std::tolower(right);
  });
}

std::string_view trimmed(std::string_view text) {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  return text;
}

bool parseSize(std::string_view text, int base, std::size_t& size) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, base);
  return error == std::errc() && end != text.data();
}

}  // namespace

std::string_view WireMessage::header(std::string_view name) const {
  const auto found = std::ranges::find_if(
      headers, [name](const http::Header& header) { return sameName(header.name, name); });
  return found == headers.end() ? std::string_view() : found->value;
}

int WireMessage::status() const {
  constexpr std::string_view Version = "HTTP/1.1 ";
  std::size_t status = 0;
  const bool is_response =
      first_line.starts_with(Version) &&
      parseSize(std::string_view(first_line).substr(Version.size()), Decimal, status);
  return is_response ? static_cast<int>(status) : 0;
}

bool MessageReader::fill(std::size_t bytes, TimePoint deadline) {
  while (buffer_.size() < bytes) {
    last_ = socket_.read(buffer_, deadline);
    if (last_ != ReadOutcome::Bytes) {
      return false;
    }
  }
  return true;
}

bool MessageReader::takeLine(std::string& line, TimePoint deadline) {
  std::size_t end = buffer_.find(LineEnd);
  while (end == std::string::npos) {
    if (buffer_.size() > MaximumLineBytes) {
      malformed_ = true;
      return false;
    }
    if (!fill(buffer_.size() + 1, deadline)) {
      return false;
    }
    end = buffer_.find(LineEnd);
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + LineEnd.size());
  return true;
}

std::string MessageReader::takeBytes(std::size_t bytes) {
  std::string taken = buffer_.substr(0, bytes);
  buffer_.erase(0, bytes);
  return taken;
}

bool MessageReader::readHeaders(WireMessage& message, TimePoint deadline) {
  std::string line;
  while (takeLine(line, deadline)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      malformed_ = true;
      return false;
    }
    const std::string_view value = trimmed(std::string_view(line).substr(colon + 1));
    message.headers.push_back({line.substr(0, colon), std::string(value)});
  }
  return false;
}

bool MessageReader::readChunks(WireMessage& message, TimePoint deadline) {
  std::string line;
  while (takeLine(line, deadline)) {
    std::size_t size = 0;
    if (!parseSize(line, Hexadecimal, size)) {
      malformed_ = true;
      return false;
    }
    if (!fill(size + LineEnd.size(), deadline)) {
      message.body += buffer_;
      return false;
    }
    message.body += takeBytes(size);
    buffer_.erase(0, LineEnd.size());
    if (size == 0) {
      return true;
    }
  }
  return false;
}

bool MessageReader::readBody(WireMessage& message, TimePoint deadline) {
  if (message.header("Transfer-Encoding") == "chunked") {
    return readChunks(message, deadline);
  }
  const std::string_view length = message.header("Content-Length");
  std::size_t size = 0;
  if (length.empty()) {
    return true;
  }
  if (!parseSize(length, Decimal, size)) {
    malformed_ = true;
    return false;
  }
  if (!fill(size, deadline)) {
    return false;
  }
  message.body = takeBytes(size);
  return true;
}

MessageOutcome MessageReader::read(WireMessage& message, TimePoint deadline) {
  message = {};
  malformed_ = false;
  if (!fill(1, deadline)) {
    switch (last_) {
      case ReadOutcome::Closed:
        return MessageOutcome::ClosedBefore;
      case ReadOutcome::Reset:
        return MessageOutcome::ResetBefore;
      default:
        return MessageOutcome::TimedOut;
    }
  }
  const bool complete = takeLine(message.first_line, deadline) && readHeaders(message, deadline) &&
                        readBody(message, deadline);
  if (complete) {
    return MessageOutcome::Complete;
  }
  if (malformed_) {
    return MessageOutcome::Malformed;
  }
  return last_ == ReadOutcome::TimedOut ? MessageOutcome::TimedOut : MessageOutcome::Truncated;
}

}  // namespace switchsaddle::testbed
