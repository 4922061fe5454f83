#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/http/message.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::http {

/**
 * Writes the response of one exchange. Either respond() is called once, or startStream(), then
 * writeChunk() any number of times, then endStream() or abort(). Calls may be made on any strand;
 * callbacks run on the server's strand.
 */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /** Sends a complete response. */
  virtual void respond(Response response) = 0;
  /** Sends the header of a streamed response. */
  virtual void startStream(Response head) = 0;
  /**
   * Queues one chunk. The handler must limit the chunks in flight (back-pressure).
   * @param written called with true when the chunk is in the socket's buffer, with false if the
   *     client has disconnected.
   */
  virtual void writeChunk(std::string chunk, std::function<void(bool)> written) = 0;
  /** Ends the stream with the final chunk. */
  virtual void endStream() = 0;
  /** Closes the connection without the final chunk, so that the client detects truncation. */
  virtual void abort() = 0;
  /** The callback runs once if the client disconnects before the exchange has ended. */
  virtual void onClientDisconnected(std::function<void()> callback) = 0;
};

using ResponseWriterPtr = std::shared_ptr<ResponseWriter>;
using RequestHandler = std::function<void(Request, ResponseWriterPtr)>;

/** What may arrive on a client's connection before it is read. */
inline constexpr std::size_t ReceiveBufferBytes = 32U << 10U;

/** Limits of a server. A request beyond them is rejected with a JSON error. */
struct ServerLimits {
  std::size_t body_bytes = 4U << 20U;
  std::size_t header_bytes = 16U << 10U;
  /**
   * Maximum number of open connections. A further one takes the place of the connection that has
   * waited longest without a complete request; if all are being answered, it is closed.
   */
  std::size_t connections = 10'000;
  /** Connections that the system completes before the server takes them, as while the process gets
   * no processor time; each may send ReceiveBufferBytes meanwhile. */
  std::size_t waiting_connections = 1'024;
  /** Time-out of a request's header, and of its body. */
  int header_timeout_s = 15;
  /**
   * What the requests and responses of all connections may keep in memory together. A request that
   * finds no room takes the place of the unfinished one that has been arriving longest; if there is
   * none, it is rejected before its body is read. Null for no limit.
   */
  std::shared_ptr<base::ByteBudget> memory = nullptr;
  /** Age from which an unfinished request, or an unread response, gives way to others. */
  base::Duration protected_time = std::chrono::seconds(1);
  /** Time after which a client that takes no byte of its response is disconnected. */
  base::Duration write_timeout = std::chrono::seconds(30);
};

/** What a server has rejected and closed since its start. */
struct ServerCounters {
  /** Connections closed at once, since all others were being answered. */
  std::uint64_t connections_refused = 0;
  /** Connections closed in favour of new ones while they waited for a request. */
  std::uint64_t connections_displaced = 0;
  /** Connections closed because an exception ended one of their callbacks. */
  std::uint64_t connections_failed = 0;
  /** Requests rejected because there was no memory for them. */
  std::uint64_t requests_refused = 0;
  /** Unfinished requests and unread responses that gave way to others. */
  std::uint64_t requests_displaced = 0;
  /** Requests rejected because they exceed the limit of the body. */
  std::uint64_t requests_too_large = 0;
  /** Requests rejected because they are malformed, or exceed the limit of the header. */
  std::uint64_t requests_malformed = 0;
  /** Requests that did not arrive within the time-out. */
  std::uint64_t requests_timed_out = 0;
  /** Clients disconnected because they did not read their response. */
  std::uint64_t responses_timed_out = 0;
};

/**
 * HTTP/1.1 server with keep-alive. Malformed requests are rejected with a JSON error. Must be
 * destroyed on its strand or while the io_context does not run; destruction closes all connections,
 * and no callback runs afterwards.
 */
class Server {
 public:
  virtual ~Server() = default;
  /** @return the address bound, with the actual port. */
  virtual base::NodeAddress address() const = 0;
  /** Stops accepting connections; open ones close after their next response. */
  virtual void stopAccepting() = 0;
  /** Closes each connection after its next response ("Connection: close"); accepts new ones. */
  virtual void closeAfterResponses() = 0;
  virtual std::size_t openConnections() const = 0;
  virtual ServerCounters counters() const = 0;
};

/**
 * Starts a server.
 * @param address port 0 chooses a free port.
 * @throws base::Error with InvalidAddress, or AddressUnavailable if it cannot be taken now.
 */
std::unique_ptr<Server> startServer(boost::asio::io_context& context,
                                    const base::NodeAddress& address, const ServerLimits& limits,
                                    RequestHandler handler);

}  // namespace switchsaddle::http
