#include "switchsaddle/http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "server_connection.h"
#include "switchsaddle/base/error.h"

namespace switchsaddle::http {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr auto StallCheckInterval = std::chrono::seconds(5);

/** Accepts the connections of a server. Runs on its strand. */
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(std::shared_ptr<ServerState> server, const base::NodeAddress& address)
      : server_(std::move(server)),
        acceptor_(server_->strand),
        retry_timer_(server_->strand),
        stall_timer_(server_->strand) {
    error_code invalid;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip, invalid), address.port);
    if (invalid) {
      throw base::Error(base::ResultCode::InvalidAddress,
                        "not an IP address: " + address.toString());
    }
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      // Inherited by its connections, those that are not taken yet among them.
      acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
      acceptor_.bind(endpoint);
      acceptor_.listen(static_cast<int>(server_->limits.waiting_connections));
      address_ = {address.ip, acceptor_.local_endpoint().port()};
    } catch (const std::exception& exception) {
      throw base::Error(base::ResultCode::AddressUnavailable,
                        "cannot listen on " + address.toString() + ": " + exception.what());
    }
  }

  const base::NodeAddress& address() const { return address_; }

  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (error) {
            self->retryAccept();
            return;
          }
          // First, since taking the connection may fail for lack of memory.
          self->accept();
          self->addConnection(std::move(socket));
        });
  }

  /** Looks at intervals for clients that do not read their response. */
  void watchStalledClients() {
    stall_timer_.expires_after(StallCheckInterval);
    stall_timer_.async_wait([weak = weak_from_this()](const error_code& cancelled) {
      const auto self = weak.lock();
      if (!cancelled && self && !self->server_->closed) {
        self->server_->connections.closeStalled();
        self->watchStalledClients();
      }
    });
  }

  void stopAccepting() {
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

  void close() {
    stopAccepting();
    stall_timer_.cancel();
  }

 private:
  void addConnection(tcp::socket socket) {
    const bool is_full = server_->connections.size() >= server_->limits.connections;
    if (is_full && !displaceConnection()) {
      ++server_->counters.connections_refused;
      return;
    }
    auto connection = std::make_shared<ServerConnection>(server_, std::move(socket));
    server_->connections.add(connection);
    connection->start();
  }

  bool displaceConnection() {
    const bool is_displaced = server_->connections.displaceConnection();
    server_->counters.connections_displaced += is_displaced ? 1 : 0;
    return is_displaced;
  }

  /** Retries after an error such as a lack of file descriptors. */
  void retryAccept() {
    retry_timer_.expires_after(AcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](const error_code&) {
      if (self->acceptor_.is_open()) {
        self->accept();
      }
    });
  }

  std::shared_ptr<ServerState> server_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer stall_timer_;
  base::NodeAddress address_;
};

class ServerImplementation : public Server {
 public:
  ServerImplementation(boost::asio::io_context& context, const base::NodeAddress& address,
                       const ServerLimits& limits, RequestHandler handler)
      : state_(std::make_shared<ServerState>(
            ServerState{boost::asio::make_strand(context),
                        limits,
                        std::make_shared<const RequestHandler>(std::move(handler)),
                        false,
                        false,
                        {},
                        {}})),
        listener_(std::make_shared<Listener>(state_, address)) {
    listener_->accept();
    listener_->watchStalledClients();
  }
  ~ServerImplementation() override {
    state_->closed = true;
    listener_->close();
    state_->connections.closeAll();
    state_->handler.reset();
  }

  base::NodeAddress address() const override { return listener_->address(); }
  void stopAccepting() override {
    state_->draining = true;
    listener_->stopAccepting();
  }
  void closeAfterResponses() override { state_->draining = true; }
  std::size_t openConnections() const override { return state_->connections.size(); }
  ServerCounters counters() const override { return state_->counters; }

 private:
  std::shared_ptr<ServerState> state_;
  std::shared_ptr<Listener> listener_;
};

}  // namespace

std::unique_ptr<Server> startServer(boost::asio::io_context& context,
                                    const base::NodeAddress& address, const ServerLimits& limits,
                                    RequestHandler handler) {
  return std::make_unique<ServerImplementation>(context, address, limits, std::move(handler));
}

}  // namespace switchsaddle::http
