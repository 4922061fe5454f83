#pragma once

#include <functional>
#include <memory>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/http/message.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::http {

/**
 * The writing side of one exchange. Exactly one of respond() or startStream() is called, then, for
 * a stream, writeChunk() until endStream() or abort(). All calls are made on the server's strand.
 */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void respond(Response response) = 0;
  /** Sends the header of a chunked response. */
  virtual void startStream(Response head) = 0;
  /**
   * Queues one chunk; `written` runs once the socket has taken it (true) or the client is gone
   * (false). Callers keep at most a few chunks outstanding, which gives back-pressure.
   */
  virtual void writeChunk(std::string chunk, std::function<void(bool)> written) = 0;
  /** Ends the stream with the final chunk. */
  virtual void endStream() = 0;
  /** Closes the connection without the final chunk, so that the client sees the body cut short. */
  virtual void abort() = 0;
  /** Runs once, when the client goes away before the exchange has ended. */
  virtual void onClientDisconnected(std::function<void()> callback) = 0;
};

using ResponseWriterPtr = std::shared_ptr<ResponseWriter>;
using RequestHandler = std::function<void(Request, ResponseWriterPtr)>;

/** Limits of a server; requests beyond them get a numbered error. */
struct ServerLimits {
  std::size_t body_bytes = 4U << 20U;
  std::size_t header_bytes = 16U << 10U;
  std::size_t connections = 10'000;
  int header_timeout_s = 15;
};

/**
 * An HTTP/1.1 server with keep-alive. Malformed input gets a numbered JSON error and never ends the
 * process. Destroy it on its strand or while the io_context does not run; it closes its connections
 * and calls nobody afterwards.
 */
class Server {
 public:
  virtual ~Server() = default;
  /** The bound address, with the real port where 0 was asked for. */
  virtual base::NodeAddress address() const = 0;
  /** Stops accepting; open exchanges go on, and each connection closes after its next answer. */
  virtual void stopAccepting() = 0;
  /** From now on each connection closes after its next answer, which says so; more are accepted. */
  virtual void closeAfterAnswers() = 0;
  virtual std::size_t openConnections() const = 0;
};

/** Binds and listens at once; throws base::Error with InvalidAddress where it cannot. */
std::unique_ptr<Server> startServer(boost::asio::io_context& context,
                                    const base::NodeAddress& address, const ServerLimits& limits,
                                    RequestHandler handler);

}  // namespace switchsaddle::http
