#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "tcp_transport_state.h"

namespace switchsaddle::transport {

/**
 * Connection opened by a peer: splits the byte stream into frames and delivers their envelopes. A
 * malformed frame closes the connection. Runs on the dispatcher's strand.
 */
class TcpTransport::IncomingConnection : public std::enable_shared_from_this<IncomingConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param listener owns the connection while it is open. */
  IncomingConnection(std::shared_ptr<Shared> shared, boost::asio::ip::tcp::socket socket,
                     std::weak_ptr<Listener> listener);
  ~IncomingConnection();
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  void start();
  void close();
  /** Closes the connection and gives back what its buffer takes. */
  void discard();
  /** @return when the last frame was delivered, or the connection was opened. */
  Clock::time_point lastFrame() const { return last_frame_; }
  /** @return whether an unfinished frame uses more than the connection's own buffer. */
  bool holdsFrame() const { return reserved_bytes_ > 0; }

 private:
  void read();
  /** Makes room for the next read. @return false if there is none. */
  bool reserveBuffer(std::size_t bytes);
  void releaseReserved();
  void onRead(const boost::system::error_code& error);
  /** Closes the connection and removes it from the listener. */
  void finish();
  /** Delivers all complete frames of the buffer; @return whether the connection stays open. */
  bool deliverFrames();
  /** Decodes and delivers one frame; @return whether the connection stays open. */
  bool deliver(std::string_view body);
  /** Passes an envelope to the receiver, whose exceptions are logged and counted. */
  void notifyReceiver(wire::Envelope envelope);
  /** Releases the memory of a buffer that grew for large frames. */
  void shrinkBuffer();

  std::shared_ptr<Shared> shared_;
  boost::asio::ip::tcp::socket socket_;
  std::weak_ptr<Listener> listener_;
  Clock::time_point last_frame_ = Clock::now();
  /** What the buffer takes of Shared::receive_bytes. */
  std::size_t reserved_bytes_ = 0;
  /** Bytes received and not yet delivered. */
  std::string buffer_;
  /** Size of the next read. */
  std::size_t read_bytes_;
};

}  // namespace switchsaddle::transport
