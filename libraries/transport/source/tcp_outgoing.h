#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "tcp_shared.h"

namespace switchsaddle::transport {

/** A frame that waits for its connection, and what to call it should the peer refuse. */
struct QueuedFrame {
  std::string bytes;
  RefusedEnvelope envelope;
};

/**
 * The connection to one peer with its queue. Each attempt has its own number, so that the handlers
 * of an earlier one find themselves outdated.
 */
class TcpTransport::OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<Shared> shared, base::NodeAddress peer)
      : shared_(std::move(shared)),
        peer_(std::move(peer)),
        socket_(shared_->strand),
        connect_timer_(shared_->strand),
        idle_timer_(shared_->strand) {}

  void send(QueuedFrame frame) {
    queued_bytes_ += frame.bytes.size();
    queue_.push_back(std::move(frame));
    while (queued_bytes_ > shared_->options.queue_bytes && !queue_.empty()) {
      queued_bytes_ -= queue_.front().bytes.size();
      queue_.pop_front();
      ++shared_->counters.frames_dropped;
    }
    if (queue_.empty()) {
      return;
    }
    if (state_ == State::Closed) {
      connect();
    } else if (state_ == State::Connected) {
      write();
    }
  }

  /** True where nothing is queued, under way or connected. */
  bool idle() const { return state_ == State::Closed && queue_.empty(); }

  void close() {
    ++attempt_;
    state_ = State::Closed;
    connect_timer_.cancel();
    idle_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    writing_ = false;
  }

 private:
  enum class State : std::uint8_t { Closed, Connecting, Connected };

  bool outdated(std::uint64_t attempt) const { return shared_->closed || attempt != attempt_; }

  void connect() {
    const std::uint64_t attempt = ++attempt_;
    state_ = State::Connecting;
    error_code error;
    const tcp::endpoint endpoint = toEndpoint(peer_, error);
    socket_ = tcp::socket(shared_->strand);
    if (!error) {
      socket_.open(endpoint.protocol(), error);
    }
    if (error) {
      close();
      dropQueue();
      return;
    }
    bindToListeningAddress(endpoint);
    connect_timer_.expires_after(shared_->options.connect_timeout);
    connect_timer_.async_wait([self = shared_from_this(), attempt](const error_code& failure) {
      const bool expired = !failure && !self->outdated(attempt);
      if (expired && self->state_ == State::Connecting) {
        self->close();
        self->dropQueue();
      }
    });
    socket_.async_connect(endpoint, [self = shared_from_this(), attempt](const error_code& result) {
      if (!self->outdated(attempt)) {
        self->onConnect(result);
      }
    });
  }

  /** Lets peers see which node calls. Without it the connection still works. */
  void bindToListeningAddress(const tcp::endpoint& endpoint) {
    error_code error;
    const auto local = boost::asio::ip::make_address(shared_->local.ip, error);
    if (error || local.is_unspecified() || local.is_v4() != endpoint.address().is_v4()) {
      return;
    }
    socket_.set_option(IntegerOption<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(1), error);
    socket_.bind(tcp::endpoint(local, 0), error);
  }

  void onConnect(const error_code& error) {
    connect_timer_.cancel();
    if (error == boost::asio::error::connection_refused || (!error && connectedToItself())) {
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
    watch();
    write();
    awaitIdleness();
  }

  /** Closes the connection once nothing was sent in a whole period. */
  void awaitIdleness() {
    used_ = false;
    idle_timer_.expires_after(shared_->options.idle_timeout);
    idle_timer_.async_wait(
        [self = shared_from_this(), attempt = attempt_](const error_code& failure) {
          if (failure || self->outdated(attempt)) {
            return;
          }
          const bool in_use = self->used_ || self->writing_ || !self->queue_.empty();
          if (in_use) {
            self->awaitIdleness();
          } else {
            self->close();
          }
        });
  }

  /** Linux joins a socket to itself where the peer's port is free and happens to be chosen. */
  bool connectedToItself() const {
    error_code error;
    const tcp::endpoint local = socket_.local_endpoint(error);
    return !error && local == socket_.remote_endpoint(error);
  }

  /** The peer never sends here, so that any end of the read is the end of the connection. */
  void watch() {
    socket_.async_read_some(
        boost::asio::buffer(&watched_byte_, 1),
        [self = shared_from_this(), attempt = attempt_](const error_code&, std::size_t) {
          if (!self->outdated(attempt)) {
            self->onLost();
          }
        });
  }

  void write() {
    if (writing_ || queue_.empty()) {
      return;
    }
    std::size_t bytes = 0;
    auto frames = std::make_shared<std::vector<std::string>>();
    while (!queue_.empty() && frames->size() < GatheredFrames && bytes < GatheredBytes) {
      bytes += queue_.front().bytes.size();
      frames->push_back(std::move(queue_.front().bytes));
      queue_.pop_front();
    }
    queued_bytes_ -= bytes;
    writing_ = true;
    used_ = true;
    std::vector<boost::asio::const_buffer> buffers;
    for (const std::string& frame : *frames) {
      buffers.push_back(boost::asio::buffer(frame));
    }
    boost::asio::async_write(socket_, buffers,
                             [self = shared_from_this(), attempt = attempt_, frames](
                                 const error_code& error, std::size_t written) {
                               if (!self->outdated(attempt)) {
                                 self->onWritten(error, frames->size(), written);
                               }
                             });
  }

  void onWritten(const error_code& error, std::size_t frames, std::size_t bytes) {
    if (error) {
      shared_->counters.frames_dropped += frames;
      onLost();
      return;
    }
    shared_->counters.frames_sent += frames;
    shared_->counters.bytes_sent += bytes;
    writing_ = false;
    write();
  }

  /** Frames not yet given to the lost connection go on a new one. */
  void onLost() {
    close();
    if (!queue_.empty()) {
      connect();
    }
  }

  std::deque<QueuedFrame> dropQueue() {
    shared_->counters.frames_dropped += queue_.size();
    queued_bytes_ = 0;
    return std::exchange(queue_, {});
  }

  /** What the receiver sends anew while it is told goes on another attempt. */
  void refuseQueue() {
    const auto kept = shared_from_this();
    for (const QueuedFrame& frame : dropQueue()) {
      if (shared_->receiver == nullptr) {
        return;
      }
      shared_->receiver->onRefused(peer_, frame.envelope);
    }
  }

  std::shared_ptr<Shared> shared_;
  base::NodeAddress peer_;
  tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer idle_timer_;
  State state_ = State::Closed;
  std::uint64_t attempt_ = 0;
  std::deque<QueuedFrame> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
  /** Something was sent since the idle timer was last set. */
  bool used_ = false;
  char watched_byte_ = 0;
};

}  // namespace switchsaddle::transport
