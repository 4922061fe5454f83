#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>

#include "frame_queue.h"
#include "tcp_transport_state.h"

namespace switchsaddle::transport {

/**
 * Connection to one peer and the queue of its frames. Opened on demand and closed when idle.
 *
 * Each connection attempt has its own number; handlers of an earlier attempt do nothing. Frames
 * still queued when a connection is lost are sent on the next one. Runs on the
 * dispatcher's strand.
 */
class TcpTransport::OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(std::shared_ptr<Shared> shared, base::NodeAddress peer);

  void send(QueuedFrame frame);
  /** @return whether the connection is closed and its queue empty. */
  bool idle() const { return state_ == State::Closed && queue_.empty(); }
  /** @return the bytes of the frames that are not being written yet. */
  std::size_t queuedBytes() const { return queue_.bytes(); }
  /** Drops the oldest frame that is not being written yet; there must be one. */
  void dropOldest();
  void close();

 private:
  /** Runs an action of this connection; a lack of memory closes it and drops its messages. */
  template <class Action>
  void guarded(Action action);
  enum class State : std::uint8_t { Closed, Connecting, Connected };

  bool outdated(std::uint64_t attempt) const { return shared_->closed || attempt != attempt_; }

  void connect();
  boost::system::error_code openSocket(const boost::asio::ip::tcp::endpoint& endpoint);
  void startConnectTimer();
  void onConnect(const boost::system::error_code& error);
  void startIdleTimer();
  void onIdleTimer();
  /** Detects the end of the connection; the peer sends nothing on it. */
  void awaitDisconnect();
  void write();
  void onWritten(const boost::system::error_code& error, std::size_t frames, std::size_t bytes);
  void onDisconnected();
  /** Removes all frames from the queue and counts them as dropped. */
  std::deque<QueuedFrame> dropQueue();
  /** Drops the queue and reports each of its envelopes as refused. */
  void refuseQueue();

  std::shared_ptr<Shared> shared_;
  base::NodeAddress peer_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer idle_timer_;
  State state_ = State::Closed;
  std::uint64_t attempt_ = 0;
  FrameQueue queue_;
  bool writing_ = false;
  /** A write was started since the idle timer was started. */
  bool used_ = false;
  char discarded_byte_ = 0;
};

}  // namespace switchsaddle::transport
