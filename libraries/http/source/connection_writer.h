#pragma once

#include <boost/asio/dispatch.hpp>
#include <memory>
#include <utility>

#include "server_connection.h"
#include "switchsaddle/http/error_response.h"

namespace switchsaddle::http {

/**
 * The handler's writer of one exchange. Dispatches its calls to the server's strand; calls after
 * the end of the exchange do nothing. If it is destroyed without a response, it sends
 * InternalError.
 */
class ConnectionWriter : public ResponseWriter {
 public:
  ConnectionWriter(std::shared_ptr<ServerConnection> connection, Strand strand,
                   std::shared_ptr<ServerState> server, std::uint64_t exchange)
      : connection_(std::move(connection)),
        strand_(std::move(strand)),
        server_(std::move(server)),
        exchange_(exchange) {}

  ~ConnectionWriter() override {
    if (responded_ || server_->closed) {
      return;
    }
    try {
      run([](ServerConnection& connection) { connection.endUnanswered(); });
    } catch (const std::exception&) {
      // Without memory even for this, the client is told by its own time-out.
    }
  }

  void respond(Response response) override {
    responded_ = true;
    run([response = std::move(response)](ServerConnection& connection) mutable {
      if (!connection.streaming()) {
        connection.respond(std::move(response));
      }
    });
  }
  void startStream(Response head) override {
    run([head = std::move(head)](ServerConnection& connection) mutable {
      connection.startStream(std::move(head));
    });
  }
  void writeChunk(std::string chunk, std::function<void(bool)> written) override {
    boost::asio::dispatch(
        strand_, [connection = connection_, exchange = exchange_, chunk = std::move(chunk),
                  written = std::move(written)]() mutable {
          if (connection->isCurrent(exchange) && connection->streaming()) {
            connection->guarded([&] { connection->writeChunk(chunk, std::move(written)); });
          } else if (written) {
            connection->postWritten(std::move(written), false);
          }
        });
  }
  void endStream() override {
    responded_ = true;
    run([](ServerConnection& connection) { connection.endStream(); });
  }
  void abort() override {
    responded_ = true;
    run([](ServerConnection& connection) { connection.close(); });
  }
  void onClientDisconnected(std::function<void()> callback) override {
    boost::asio::dispatch(strand_, [connection = connection_, exchange = exchange_,
                                    callback = std::move(callback)]() mutable {
      connection->onClientDisconnected(exchange, std::move(callback));
    });
  }

 private:
  /** Runs the action on the strand if the exchange is still in progress. */
  template <class Action>
  void run(Action action) {
    boost::asio::dispatch(strand_, [connection = connection_, exchange = exchange_,
                                    action = std::move(action)]() mutable {
      if (connection->isCurrent(exchange)) {
        connection->guarded([&] { action(*connection); });
      }
    });
  }

  std::shared_ptr<ServerConnection> connection_;
  Strand strand_;
  std::shared_ptr<ServerState> server_;
  std::uint64_t exchange_;
  bool responded_ = false;
};

}  // namespace switchsaddle::http
