#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "deadline_timer.h"
#include "serialise.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class ServerConnection;

/** State shared by a server and its connections; outlives the server while connections exist. */
struct ServerState {
  Strand strand;
  ServerLimits limits;
  /** Shared, so that the handler outlives its call if it destroys the server. */
  std::shared_ptr<const RequestHandler> handler;
  /** The server has been destroyed. */
  bool closed = false;
  /** Connections close after their next response. */
  bool draining = false;
  std::set<std::shared_ptr<ServerConnection>> connections;
};

/**
 * Connection of one client. Processes one request at a time: the next is parsed once the response
 * to the last has been written. While the response is awaited, the connection reads ahead a limited
 * number of bytes in order to detect a disconnect. Before a request that may change something is
 * handled, the connection looks whether its client has closed it meanwhile, as it may have while
 * this process was frozen; the request's ClientPresence tells. Runs on the server's strand.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server, boost::asio::ip::tcp::socket socket);

  void start();
  void close();
  /** @return whether the exchange with this number is in progress. */
  bool isCurrent(std::uint64_t exchange) const;

  // The functions of ResponseWriter for the exchange in progress.
  void respond(Response response);
  void startStream(Response head);
  void writeChunk(const std::string& chunk, std::function<void(bool)> written);
  void endStream();
  void onClientDisconnected(std::uint64_t exchange, std::function<void()> callback);
  /** Posts a chunk's callback to the strand. */
  void postWritten(std::function<void(bool)> written, bool result);
  bool streaming() const { return phase_ == Phase::Streaming; }

 private:
  enum class Phase : std::uint8_t {
    /** No byte of the next request has been received. */
    Idle,
    /** A request is being read. */
    Reading,
    /** The handler is processing the request and has not responded. */
    Awaiting,
    /** The handler is writing a stream. */
    Streaming,
    /** The last bytes of the response are being written. */
    Finishing,
    /** The client's remaining bytes are discarded, so that it can read the response. */
    Lingering,
    Closed,
  };
  struct PendingWrite {
    std::string bytes;
    std::function<void(bool)> written;
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool inExchange() const;
  void awaitRequest();
  void readAhead();
  void onReadAhead(const boost::system::error_code& error, std::size_t bytes);
  void readHead();
  void onHead(const boost::system::error_code& error);
  void readBody();
  void onRequest(const boost::system::error_code& error);
  void sendContinue();
  void callHandler(Request request);
  /** @return whether the client has closed its sending side or reset the connection. */
  bool hasClientClosed();
  /** Handles a read error; @return whether there was one. */
  bool handleReadError(const boost::system::error_code& error);
  /** Sends an error response and closes the connection. */
  void reject(const Response& response);
  void linger();
  void readLingering();
  /** Closes the connection after the delay. */
  void armTimer(std::chrono::seconds delay);
  void enqueue(std::string bytes, std::function<void(bool)> written);
  void write();
  std::vector<PendingWrite> popBatch();
  void onWritten(const boost::system::error_code& error, std::vector<PendingWrite>& batch);
  void finish();

  std::shared_ptr<ServerState> server_;
  boost::asio::ip::tcp::socket socket_;
  DeadlineTimer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::Idle;
  bool reading_ahead_ = false;
  /** Number of the last exchange started. */
  std::uint64_t exchange_ = 0;
  bool first_request_ = true;
  bool keep_alive_ = true;
  /** The request's method is HEAD, so that the response has no body. */
  bool head_only_ = false;
  BodyFraming framing_ = BodyFraming::Chunked;
  std::deque<PendingWrite> queue_;
  bool writing_ = false;
  std::function<void()> client_disconnected_;
  std::shared_ptr<ClientPresence> presence_ = std::make_shared<ClientPresence>();
  std::size_t lingered_bytes_ = 0;
};

}  // namespace switchsaddle::http
