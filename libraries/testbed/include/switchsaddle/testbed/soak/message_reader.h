#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/http/message.h"
#include "switchsaddle/testbed/soak/blocking_socket.h"

namespace switchsaddle::testbed {

/** A message as it came over the wire, with its body decoded. */
struct WireMessage {
  /** The request line or status line. */
  std::string first_line;
  std::vector<http::Header> headers;
  std::string body;

  /** @return the value of the first field with this name, or an empty view. */
  std::string_view header(std::string_view name) const;
  /** @return the status of a response; 0 if the first line is not a status line. */
  int status() const;
};

/** How reading a message ended. */
enum class MessageOutcome : std::uint8_t {
  Complete,
  /** The connection was closed before the first byte. */
  ClosedBefore,
  /** The connection was reset before the first byte. */
  ResetBefore,
  /** The connection ended within the message. */
  Truncated,
  TimedOut,
  /** The bytes are not a message. */
  Malformed,
};

/**
 * Reads HTTP messages with Content-Length or chunks from a socket, one after the other. Bytes
 * beyond a message belong to the next one. Used by one thread.
 */
class MessageReader {
 public:
  /** @param socket outlives the reader. */
  explicit MessageReader(BlockingSocket& socket) : socket_(socket) {}

  MessageOutcome read(WireMessage& message, BlockingSocket::Clock::time_point deadline);

 private:
  /** Reads until the buffer holds `bytes` bytes. */
  bool fill(std::size_t bytes, BlockingSocket::Clock::time_point deadline);
  /** Reads and removes the next line; @return false if there is none. */
  bool takeLine(std::string& line, BlockingSocket::Clock::time_point deadline);
  std::string takeBytes(std::size_t bytes);
  bool readHeaders(WireMessage& message, BlockingSocket::Clock::time_point deadline);
  bool readBody(WireMessage& message, BlockingSocket::Clock::time_point deadline);
  bool readChunks(WireMessage& message, BlockingSocket::Clock::time_point deadline);

  BlockingSocket& socket_;
  std::string buffer_;
  ReadOutcome last_ = ReadOutcome::Bytes;
  bool malformed_ = false;
};

}  // namespace switchsaddle::testbed
