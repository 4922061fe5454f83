#pragma once

#include <glog/logging.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "switchsaddle/base/error.h"
#include "tcp_shared.h"

namespace switchsaddle::transport {

/** One connection from a peer: cuts the bytes into frames and delivers them. */
class TcpTransport::IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(std::shared_ptr<Shared> shared, tcp::socket socket,
                     std::function<void(const std::shared_ptr<IncomingConnection>&)> on_closed)
      : shared_(std::move(shared)), socket_(std::move(socket)), on_closed_(std::move(on_closed)) {}

  void start() {
    setConnectionOptions(socket_, shared_->options.user_timeout);
    read();
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    const std::size_t filled = buffer_.size();
    buffer_.resize(filled + read_bytes_);
    socket_.async_read_some(
        boost::asio::buffer(buffer_.data() + filled, read_bytes_),
        [self = shared_from_this(), filled](const error_code& error, std::size_t bytes) {
          self->buffer_.resize(filled + bytes);
          self->read_bytes_ = bytes == self->read_bytes_ ? LargeReadBytes : SmallReadBytes;
          self->onRead(error);
        });
  }

  void onRead(const error_code& error) {
    if (shared_->closed) {
      return;
    }
    if (error || !deliverFrames()) {
      close();
      if (!shared_->closed) {
        on_closed_(shared_from_this());
      }
      return;
    }
    read();
  }

  /** False where the connection is to be closed. */
  bool deliverFrames() {
    std::size_t offset = 0;
    while (buffer_.size() - offset >= LengthBytes) {
      const std::size_t length = readLength(buffer_.data() + offset);
      if (length > shared_->options.frame_bytes) {
        ++shared_->counters.malformed_frames;
        return false;
      }
      if (buffer_.size() - offset - LengthBytes < length) {
        break;
      }
      const bool goes_on = deliver(std::string_view(buffer_).substr(offset + LengthBytes, length));
      if (!goes_on) {
        return false;
      }
      offset += LengthBytes + length;
    }
    buffer_.erase(0, offset);
    if (buffer_.empty() && buffer_.capacity() > 4 * SmallReadBytes) {
      buffer_.shrink_to_fit();
    }
    return true;
  }

  bool deliver(std::string_view bytes) {
    wire::Envelope envelope;
    try {
      envelope = wire::decode(bytes);
    } catch (const std::exception&) {
      ++shared_->counters.malformed_frames;
      return false;
    }
    ++shared_->counters.frames_received;
    shared_->counters.bytes_received += LengthBytes + bytes.size();
    if (shared_->receiver == nullptr) {
      return true;
    }
    try {
      shared_->receiver->onEnvelope(std::move(envelope));
    } catch (const std::exception& exception) {
      ++shared_->counters.failed_deliveries;
      LOG(ERROR) << "event=delivery_failed reason=" << exception.what();
    }
    return !shared_->closed;
  }

  std::shared_ptr<Shared> shared_;
  tcp::socket socket_;
  std::function<void(const std::shared_ptr<IncomingConnection>&)> on_closed_;
  std::string buffer_;
  std::size_t read_bytes_ = SmallReadBytes;
};

/** Accepts connections and keeps them. */
class TcpTransport::Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(std::shared_ptr<Shared> shared, const base::NodeAddress& listen)
      : shared_(std::move(shared)), acceptor_(shared_->strand), retry_timer_(shared_->strand) {
    error_code error;
    const tcp::endpoint endpoint = toEndpoint(listen, error);
    if (error) {
      throw base::Error(base::ResultCode::InvalidAddress, listen.toString() + ": bad address");
    }
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const std::exception& exception) {
      throw base::Error(base::ResultCode::InvalidAddress,
                        "cannot listen on " + listen.toString() + ": " + exception.what());
    }
    shared_->local = base::NodeAddress{listen.ip, acceptor_.local_endpoint().port()};
  }

  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& error, tcp::socket socket) {
          if (self->shared_->closed) {
            return;
          }
          if (error) {
            self->retryLater();
            return;
          }
          self->take(std::move(socket));
          self->accept();
        });
  }

  void close() {
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
    for (const auto& connection : connections_) {
      connection->close();
    }
    connections_.clear();
  }

 private:
  void take(tcp::socket socket) {
    if (connections_.size() >= shared_->options.incoming_connections) {
      return;
    }
    auto connection = std::make_shared<IncomingConnection>(
        shared_, std::move(socket),
        [weak = weak_from_this()](const std::shared_ptr<IncomingConnection>& closed) {
          if (const auto self = weak.lock()) {
            self->connections_.erase(closed);
          }
        });
    connections_.insert(connection);
    connection->start();
  }

  /** Accepting fails for want of file descriptors, for one; some may be free later. */
  void retryLater() {
    retry_timer_.expires_after(AcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](const error_code&) {
      if (!self->shared_->closed) {
        self->accept();
      }
    });
  }

  std::shared_ptr<Shared> shared_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::set<std::shared_ptr<IncomingConnection>> connections_;
};

}  // namespace switchsaddle::transport
