#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "serialise.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class ServerConnection;

/** What the connections of one server share; it outlives the server for as long as they do. */
struct ServerState {
  Strand strand;
  ServerLimits limits;
  /** Shared, so that a server destroyed from within its handler does not end the call. */
  std::shared_ptr<const RequestHandler> handler;
  /** Set once the server is destroyed. */
  bool closed = false;
  /** Set once no more connections are accepted; those open close after their next answer. */
  bool draining = false;
  std::set<std::shared_ptr<ServerConnection>> connections;
};

/**
 * One client's connection. Requests are taken one at a time: the next is parsed once the answer to
 * the last has been written. While an answer is awaited the connection reads ahead a little, which
 * shows a client that goes away. Runs on the server's strand.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server, boost::asio::ip::tcp::socket socket);

  void start();
  void close();
  /** True while the exchange of this number is the one in progress. */
  bool current(std::uint64_t exchange) const;

  void respond(Response response);
  void startStream(Response head);
  void writeChunk(const std::string& chunk, std::function<void(bool)> written);
  void endStream();
  void onClientDisconnected(std::uint64_t exchange, std::function<void()> callback);
  /** Runs a chunk's callback, later and on the strand. */
  void postWritten(std::function<void(bool)> written, bool result);
  bool streaming() const { return phase_ == Phase::Streaming; }

 private:
  enum class Phase : std::uint8_t {
    /** No byte of the next request has come. */
    Idle,
    /** A request is being read. */
    Reading,
    /** The handler has the request and has not answered. */
    Awaiting,
    /** The handler is sending a stream. */
    Streaming,
    /** The last bytes of the answer are being written. */
    Finishing,
    /** A refused client's remaining bytes are thrown away, so that it can read why. */
    Lingering,
    Closed,
  };
  struct Pending {
    std::string bytes;
    std::function<void(bool)> written;
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void nextRequest();
  void readAhead();
  void onReadAhead(const boost::system::error_code& error, std::size_t bytes);
  void readHead();
  void onHead(const boost::system::error_code& error);
  void readBody();
  void onRequest(const boost::system::error_code& error);
  void handOver(Request request);
  bool refuseRead(const boost::system::error_code& error);
  void refuse(const Response& response);
  void linger();
  void readLingering();
  void armTimer(std::chrono::seconds delay);
  void enqueue(std::string bytes, std::function<void(bool)> written);
  void write();
  void onWritten(const boost::system::error_code& error, std::vector<Pending>& batch);
  void finish();

  std::shared_ptr<ServerState> server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t timer_arming_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::Idle;
  bool reading_ahead_ = false;
  std::uint64_t exchange_ = 0;
  bool first_request_ = true;
  bool keep_alive_ = true;
  bool head_only_ = false;
  BodyFraming framing_ = BodyFraming::Chunked;
  std::deque<Pending> queue_;
  bool writing_ = false;
  std::function<void()> client_disconnected_;
  std::size_t lingered_bytes_ = 0;
};

}  // namespace switchsaddle::http
