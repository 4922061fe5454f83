#pragma once

#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "connection_table.h"
#include "deadline_timer.h"
#include "request_reader.h"
#include "serialise.h"
#include "switchsaddle/http/server.h"

namespace switchsaddle::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

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
  ConnectionTable connections;
  ServerCounters counters;
};

/**
 * Connection of one client. Processes one request at a time: the next is parsed once the response
 * to the last has been written. While the response is awaited, the connection reads ahead a limited
 * number of bytes in order to detect a disconnect. For a request that may change something, the
 * ClientPresence looks at the socket itself: its client may have closed it while this process was
 * frozen.
 *
 * Invariant: beside a fixed amount for each connection, what a client sends or does not read is
 * held only in memory taken from the server's budget. A head is parsed once it is complete, since
 * the parsed fields need much more memory than their bytes. Runs on the server's strand.
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
  /** Ends an exchange that its handler has given up without a response. */
  void endUnanswered();
  /** Runs an action of this connection; closes the connection if it throws, as for lack of memory.
   */
  template <class Action>
  void guarded(Action action);

  // The functions of ConnectionTable.
  /** @return when the current phase began. */
  ConnectionTable::Clock::time_point phaseStart() const { return phase_start_; }
  /** @return whether the connection has no complete request and no response to write. */
  bool isWaiting() const;
  /** @return whether a request is arriving, or a response is being read, beyond the protected time.
   */
  bool isOverdue(ConnectionTable::Clock::time_point now) const;
  bool holdsMemory() const { return memory_ && memory_->held() > 0; }
  /** Rejects the unfinished request, or disconnects the client that does not read. */
  void displaceRequest();
  /** Disconnects the client if it has taken no byte of its response for the write time-out. */
  void closeIfStalled(ConnectionTable::Clock::time_point now);

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
  bool inExchange() const;
  /** @return whether the request after the exchange with this number is still being read. */
  bool isReading(std::uint64_t last_exchange) const;
  void enter(Phase phase);
  void awaitRequest();
  void readAhead();
  void onReadAhead(const boost::system::error_code& error, std::size_t bytes);
  void startRequest();
  /** Parses the head once it is complete, else reads on. */
  void readHead();
  bool isHeadComplete();
  void parseHead();
  void onHead();
  /** Reads what has arrived of the body, then waits for more. */
  void readBody();
  /** @return false if the connection waits for more bytes, or the request has been rejected. */
  bool readPiece();
  /** Reads further bytes into the buffer. @return as readPiece(). */
  bool receiveMore();
  void awaitBody();
  void onRequest();
  /**
   * Calls the action until the budget has room for it, while other requests can give way.
   * @return whether it had room; if not, the request has been rejected.
   */
  template <class Action>
  bool withMemory(Action action);
  void sendContinue();
  void onContinueWritten(const boost::system::error_code& error);
  void callHandler(Request request);
  /** Handles a read error; @return whether there was one. */
  bool handleReadError(const boost::system::error_code& error);
  /** Sends an error response and closes the connection. */
  void reject(const Response& response);
  /** Rejects a request for which there is no memory; it has not run. */
  void rejectForMemory();
  void linger();
  void readLingering();
  /** Closes the connection after the delay. */
  void armTimer(std::chrono::seconds delay);
  /** Closes a connection whose client did not send a request in time. */
  void onTimeout();
  /** Counts the response, in place of the request that it answers, and makes room for it. */
  void countResponse(std::size_t bytes);
  void enqueue(std::string bytes, std::function<void(bool)> written);
  void write();
  std::vector<PendingWrite> popBatch();
  void onWritten(const boost::system::error_code& error, std::vector<PendingWrite>& batch);
  void finish();

  std::shared_ptr<ServerState> server_;
  boost::asio::ip::tcp::socket socket_;
  DeadlineTimer timer_;
  boost::beast::flat_buffer buffer_;
  /** Bytes of the head that were searched for its end. */
  std::size_t searched_bytes_ = 0;
  std::optional<RequestReader> reader_;
  /** What is counted for the request or response in progress; null if nothing is counted. */
  base::ByteReservationPtr memory_;
  Phase phase_ = Phase::Idle;
  ConnectionTable::Clock::time_point phase_start_ = ConnectionTable::Clock::now();
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
  /** When the client last took bytes of a response. */
  ConnectionTable::Clock::time_point write_progress_;
  std::function<void()> client_disconnected_;
  std::shared_ptr<ClientPresence> presence_ = std::make_shared<ClientPresence>();
  std::size_t lingered_bytes_ = 0;
};

template <class Action>
void ServerConnection::guarded(Action action) {
  try {
    action();
  } catch (const std::exception& exception) {
    ++server_->counters.connections_failed;
    LOG(ERROR) << "event=connection_failed reason=" << exception.what();
    close();
  }
}

}  // namespace switchsaddle::http
