#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
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
  using ClosedCallback = std::function<void(const std::shared_ptr<IncomingConnection>&)>;

  /** @param on_closed called when the connection ends for a reason other than close(). */
  IncomingConnection(std::shared_ptr<Shared> shared, boost::asio::ip::tcp::socket socket,
                     ClosedCallback on_closed);

  void start();
  void close();

 private:
  void read();
  void onRead(const boost::system::error_code& error);
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
  ClosedCallback on_closed_;
  /** Bytes received and not yet delivered. */
  std::string buffer_;
  /** Size of the next read. */
  std::size_t read_bytes_;
};

}  // namespace switchsaddle::transport
