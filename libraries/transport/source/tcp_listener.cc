#include "tcp_listener.h"

#include <chrono>
#include <utility>

#include "socket_options.h"
#include "switchsaddle/base/error.h"
#include "tcp_incoming_connection.h"

namespace switchsaddle::transport {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

TcpTransport::Listener::Listener(std::shared_ptr<Shared> shared, const base::NodeAddress& listen)
    : shared_(std::move(shared)), acceptor_(shared_->strand), retry_timer_(shared_->strand) {
  error_code error;
  const tcp::endpoint endpoint = toEndpoint(listen, error);
  if (error) {
    throw base::Error(
        base::ResultCode::InvalidAddress,
        listen.toString() + ": the IP address is invalid; expected an IPv4 or IPv6 address");
  }
  try {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::AddressUnavailable,
                      "cannot listen on " + listen.toString() + ": " + exception.what());
  }
  shared_->local = base::NodeAddress{listen.ip, acceptor_.local_endpoint().port()};
}

void TcpTransport::Listener::accept() {
  acceptor_.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
    if (self->shared_->closed) {
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

void TcpTransport::Listener::close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  for (const auto& connection : connections_) {
    connection->close();
  }
  connections_.clear();
}

void TcpTransport::Listener::addConnection(tcp::socket socket) {
  const bool is_full = connections_.size() >= shared_->options.incoming_connections;
  if (is_full && !displace(nullptr)) {
    return;
  }
  auto connection =
      std::make_shared<IncomingConnection>(shared_, std::move(socket), weak_from_this());
  connections_.insert(connection);
  connection->start();
}

void TcpTransport::Listener::remove(const std::shared_ptr<IncomingConnection>& connection) {
  connections_.erase(connection);
}

bool TcpTransport::Listener::makeRoom(std::size_t bytes, const IncomingConnection& requester) {
  while (shared_->receive_bytes + bytes > shared_->options.receive_bytes) {
    if (!displace(&requester)) {
      return false;
    }
  }
  return true;
}

bool TcpTransport::Listener::displace(const IncomingConnection* requester) {
  std::shared_ptr<IncomingConnection> oldest;
  for (const auto& connection : connections_) {
    const bool is_spared =
        requester != nullptr && (connection.get() == requester || !connection->holdsFrame());
    const bool is_older = !oldest || connection->lastFrame() < oldest->lastFrame();
    if (!is_spared && is_older) {
      oldest = connection;
    }
  }
  if (!oldest) {
    return false;
  }
  ++shared_->counters.displaced_connections;
  oldest->discard();
  connections_.erase(oldest);
  return true;
}

void TcpTransport::Listener::retryAccept() {
  retry_timer_.expires_after(AcceptRetryDelay);
  retry_timer_.async_wait([self = shared_from_this()](const error_code&) {
    if (!self->shared_->closed) {
      self->accept();
    }
  });
}

}  // namespace switchsaddle::transport
