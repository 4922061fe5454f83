#include "tcp_outgoing_connection.h"

#include <boost/asio/write.hpp>
#include <new>
#include <utility>
#include <vector>

#include "socket_options.h"

namespace switchsaddle::transport {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

TcpTransport::OutgoingConnection::OutgoingConnection(std::shared_ptr<Shared> shared,
                                                     base::NodeAddress peer)
    : shared_(std::move(shared)),
      peer_(std::move(peer)),
      socket_(shared_->strand),
      connect_timer_(shared_->strand),
      idle_timer_(shared_->strand) {}

void TcpTransport::OutgoingConnection::send(QueuedFrame frame) {
  shared_->counters.frames_dropped += queue_.push(std::move(frame), shared_->options.queue_bytes);
  if (queue_.empty()) {
    return;
  }
  guarded([this] {
    if (state_ == State::Closed) {
      connect();
    } else if (state_ == State::Connected) {
      write();
    }
  });
}

void TcpTransport::OutgoingConnection::dropOldest() {
  queue_.dropOldest();
  ++shared_->counters.frames_dropped;
}

template <class Action>
void TcpTransport::OutgoingConnection::guarded(Action action) {
  try {
    action();
  } catch (const std::bad_alloc&) {
    close();
    dropQueue();
  }
}

void TcpTransport::OutgoingConnection::close() {
  ++attempt_;
  state_ = State::Closed;
  connect_timer_.cancel();
  idle_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  writing_ = false;
}

void TcpTransport::OutgoingConnection::connect() {
  const std::uint64_t attempt = ++attempt_;
  state_ = State::Connecting;
  error_code error;
  const tcp::endpoint endpoint = toEndpoint(peer_, error);
  if (!error) {
    error = openSocket(endpoint);
  }
  if (error) {
    close();
    dropQueue();
    return;
  }
  bindLocalAddress(socket_, shared_->local, endpoint);
  startConnectTimer();
  socket_.async_connect(endpoint, [self = shared_from_this(), attempt](const error_code& result) {
    if (!self->outdated(attempt)) {
      self->guarded([&] { self->onConnect(result); });
    }
  });
}

error_code TcpTransport::OutgoingConnection::openSocket(const tcp::endpoint& endpoint) {
  error_code error;
  socket_ = tcp::socket(shared_->strand);
  socket_.open(endpoint.protocol(), error);
  if (!error) {
    shareLocalPort(socket_);
  }
  return error;
}

void TcpTransport::OutgoingConnection::startConnectTimer() {
  connect_timer_.expires_after(shared_->options.connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this(), attempt = attempt_](const error_code& cancelled) {
        const bool expired = !cancelled && !self->outdated(attempt);
        if (expired && self->state_ == State::Connecting) {
          self->close();
          self->dropQueue();
        }
      });
}

void TcpTransport::OutgoingConnection::onConnect(const error_code& error) {
  connect_timer_.cancel();
  if (error == boost::asio::error::connection_refused || (!error && isConnectedToItself(socket_))) {
    close();
    ++shared_->counters.refused_connections;
    refuseQueue();
    return;
  }
  if (error) {
    close();
    dropQueue();
    return;
  }
  setConnectionOptions(socket_, shared_->options.user_timeout);
  state_ = State::Connected;
  awaitDisconnect();
  write();
  startIdleTimer();
}

void TcpTransport::OutgoingConnection::startIdleTimer() {
  used_ = false;
  idle_timer_.expires_after(shared_->options.idle_timeout);
  idle_timer_.async_wait(
      [self = shared_from_this(), attempt = attempt_](const error_code& cancelled) {
        if (!cancelled && !self->outdated(attempt)) {
          self->onIdleTimer();
        }
      });
}

void TcpTransport::OutgoingConnection::onIdleTimer() {
  const bool in_use = used_ || writing_ || !queue_.empty();
  if (in_use) {
    startIdleTimer();
  } else {
    close();
  }
}

void TcpTransport::OutgoingConnection::awaitDisconnect() {
  socket_.async_read_some(
      boost::asio::buffer(&discarded_byte_, 1),
      [self = shared_from_this(), attempt = attempt_](const error_code&, std::size_t) {
        if (!self->outdated(attempt)) {
          self->guarded([&self] { self->onDisconnected(); });
        }
      });
}

void TcpTransport::OutgoingConnection::write() {
  if (writing_ || queue_.empty()) {
    return;
  }
  writing_ = true;
  used_ = true;
  const auto frames = std::make_shared<std::vector<FramePtr>>(queue_.popBatch());
  std::vector<boost::asio::const_buffer> buffers;
  for (const FramePtr& frame : *frames) {
    buffers.push_back(boost::asio::buffer(frame->bytes));
  }
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), attempt = attempt_, frames](const error_code& error,
                                                              std::size_t written) {
        if (!self->outdated(attempt)) {
          self->guarded([&] { self->onWritten(error, frames->size(), written); });
        }
      });
}

void TcpTransport::OutgoingConnection::onWritten(const error_code& error, std::size_t frames,
                                                 std::size_t bytes) {
  if (error) {
    shared_->counters.frames_dropped += frames;
    onDisconnected();
    return;
  }
  shared_->counters.frames_sent += frames;
  shared_->counters.bytes_sent += bytes;
  writing_ = false;
  write();
}

void TcpTransport::OutgoingConnection::onDisconnected() {
  close();
  if (!queue_.empty()) {
    connect();
  }
}

std::deque<QueuedFrame> TcpTransport::OutgoingConnection::dropQueue() {
  std::deque<QueuedFrame> dropped = queue_.clear();
  shared_->counters.frames_dropped += dropped.size();
  return dropped;
}

void TcpTransport::OutgoingConnection::refuseQueue() {
  // The receiver may destroy the transport, or send new frames, which are part of the next attempt.
  const auto self = shared_from_this();
  for (const QueuedFrame& frame : dropQueue()) {
    if (shared_->receiver == nullptr) {
      return;
    }
    shared_->receiver->onRefused(peer_, frame.envelope);
  }
}

}  // namespace switchsaddle::transport
