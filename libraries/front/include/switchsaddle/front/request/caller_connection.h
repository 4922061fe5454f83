#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::front {

/** The result of writing data to a caller. */
enum class WriteOutcome : std::uint8_t {
  /** The caller's connection has accepted the data. */
  Written,
  /** The caller has closed its connection. */
  Disconnected,
};

using WriteCallback = std::function<void(WriteOutcome)>;

/**
 * The connection to the caller of one request. Wraps the HTTP server's writer, which calls back on
 * the server's strand, and posts its callbacks to the control strand. Runs on the control strand.
 */
class CallerConnection {
 public:
  /** @param dispatcher of the control strand; outlives the connection and its callbacks. */
  CallerConnection(base::Dispatcher& dispatcher, http::ResponseWriterPtr writer);

  /** @param callback runs once if the caller disconnects before the exchange has ended. */
  void onDisconnected(std::function<void()> callback);
  /** Sends a complete response; the last call. */
  void respond(http::Response response);
  /** Sends the header of a streamed response. */
  void startStream(http::Response head);
  /** @param written runs once the chunk has been written or the caller has disconnected. */
  void writeChunk(std::string chunk, WriteCallback written);
  /** Ends the stream in order; the last call. */
  void endStream();
  /** Closes the connection, so that the caller receives a truncated response; the last call. */
  void abort();

 private:
  base::Dispatcher& dispatcher_;
  http::ResponseWriterPtr writer_;
};

}  // namespace switchsaddle::front
