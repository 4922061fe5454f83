#include "tcp_incoming_connection.h"

#include <glog/logging.h>

#include <algorithm>
#include <new>
#include <utility>

#include "frame.h"
#include "socket_options.h"
#include "tcp_listener.h"

namespace switchsaddle::transport {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Size of a read, until one is filled: a node has hundreds of connections with little traffic. */
constexpr std::size_t SmallReadBytes = 4U << 10U;
/** Size of the read after one that was filled. */
constexpr std::size_t LargeReadBytes = 64U << 10U;
/** An empty buffer with a larger capacity is released. */
constexpr std::size_t RetainedBufferBytes = 4 * SmallReadBytes;

}  // namespace

std::size_t frameBufferBytes(std::size_t frame_bytes) {
  return LengthBytes + frame_bytes + LargeReadBytes;
}

TcpTransport::IncomingConnection::IncomingConnection(std::shared_ptr<Shared> shared,
                                                     tcp::socket socket,
                                                     std::weak_ptr<Listener> listener)
    : shared_(std::move(shared)),
      socket_(std::move(socket)),
      listener_(std::move(listener)),
      read_bytes_(SmallReadBytes) {}

TcpTransport::IncomingConnection::~IncomingConnection() {
  releaseReserved();
}

void TcpTransport::IncomingConnection::start() {
  setConnectionOptions(socket_, shared_->options.user_timeout);
  read();
}

void TcpTransport::IncomingConnection::close() {
  error_code ignored;
  socket_.close(ignored);
}

void TcpTransport::IncomingConnection::discard() {
  close();
  releaseReserved();
}

void TcpTransport::IncomingConnection::releaseReserved() {
  shared_->receive_bytes -= std::exchange(reserved_bytes_, 0);
}

void TcpTransport::IncomingConnection::read() {
  const std::size_t filled = buffer_.size();
  if (!reserveBuffer(filled + read_bytes_)) {
    finish();
    return;
  }
  buffer_.resize(filled + read_bytes_);
  socket_.async_read_some(
      boost::asio::buffer(buffer_.data() + filled, read_bytes_),
      [self = shared_from_this(), filled](const error_code& error, std::size_t bytes) {
        self->buffer_.resize(filled + bytes);
        self->read_bytes_ = bytes == self->read_bytes_ ? LargeReadBytes : SmallReadBytes;
        try {
          self->onRead(error);
        } catch (const std::bad_alloc&) {
          self->finish();
        }
      });
}

bool TcpTransport::IncomingConnection::reserveBuffer(std::size_t bytes) {
  if (bytes <= buffer_.capacity()) {
    return true;
  }
  const std::size_t doubled =
      std::min(2 * buffer_.capacity(), frameBufferBytes(shared_->options.frame_bytes));
  const std::size_t capacity = std::max(bytes, doubled);
  const std::size_t wanted = capacity > RetainedBufferBytes ? capacity : 0;
  const std::shared_ptr<Listener> listener = listener_.lock();
  if (wanted > reserved_bytes_ &&
      (!listener || !listener->makeRoom(wanted - reserved_bytes_, *this))) {
    return false;
  }
  shared_->receive_bytes += wanted - reserved_bytes_;
  reserved_bytes_ = wanted;
  // A string that is asked to grow may take twice what it has.
  std::string larger;
  larger.reserve(capacity);
  larger = buffer_;
  buffer_.swap(larger);
  return true;
}

void TcpTransport::IncomingConnection::onRead(const error_code& error) {
  if (shared_->closed) {
    return;
  }
  if (!error && deliverFrames()) {
    read();
    return;
  }
  finish();
}

void TcpTransport::IncomingConnection::finish() {
  close();
  const std::shared_ptr<Listener> listener = listener_.lock();
  if (listener && !shared_->closed) {
    listener->remove(shared_from_this());
  }
}

bool TcpTransport::IncomingConnection::deliverFrames() {
  std::size_t offset = 0;
  while (buffer_.size() - offset >= LengthBytes) {
    const std::size_t length = readFrameLength(buffer_.data() + offset);
    if (length > shared_->options.frame_bytes) {
      ++shared_->counters.malformed_frames;
      return false;
    }
    if (buffer_.size() - offset - LengthBytes < length) {
      break;
    }
    if (!deliver(std::string_view(buffer_).substr(offset + LengthBytes, length))) {
      return false;
    }
    offset += LengthBytes + length;
  }
  buffer_.erase(0, offset);
  shrinkBuffer();
  return true;
}

bool TcpTransport::IncomingConnection::deliver(std::string_view body) {
  wire::Envelope envelope;
  try {
    envelope = wire::decode(body);
  } catch (const std::exception&) {
    ++shared_->counters.malformed_frames;
    return false;
  }
  last_frame_ = Clock::now();
  ++shared_->counters.frames_received;
  shared_->counters.bytes_received += LengthBytes + body.size();
  if (shared_->receiver == nullptr) {
    return true;
  }
  notifyReceiver(std::move(envelope));
  return !shared_->closed;
}

void TcpTransport::IncomingConnection::notifyReceiver(wire::Envelope envelope) {
  try {
    shared_->receiver->onEnvelope(std::move(envelope));
  } catch (const std::exception& exception) {
    ++shared_->counters.failed_deliveries;
    LOG(ERROR) << "event=delivery_failed reason=" << exception.what();
  }
}

void TcpTransport::IncomingConnection::shrinkBuffer() {
  if (buffer_.empty() && buffer_.capacity() > RetainedBufferBytes) {
    buffer_.shrink_to_fit();
    releaseReserved();
  }
}

}  // namespace switchsaddle::transport
