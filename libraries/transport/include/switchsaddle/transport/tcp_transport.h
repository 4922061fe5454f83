#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "switchsaddle/base/time.h"
#include "switchsaddle/transport/transport.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::transport {

class AsioDispatcher;

/** Bounds of a TcpTransport. */
struct TcpTransportOptions {
  /** Largest frame sent or taken, in bytes. */
  std::size_t frame_bytes = 64U << 20U;
  /** Bytes queued for one destination, beyond which the oldest frames are dropped. */
  std::size_t queue_bytes = 64U << 20U;
  /** Incoming connections open at one time. */
  std::size_t incoming_connections = 8192;
  base::Duration connect_timeout = std::chrono::seconds(1);
  /** How long sent bytes may stay unacknowledged before the connection counts as dead. */
  base::Duration user_timeout = std::chrono::milliseconds(1500);
  /** An outgoing connection on which nothing was sent for this long is closed; the next frame makes
   * a new one. Gossip meets every peer in time, and each connection costs both ends memory. */
  base::Duration idle_timeout = std::chrono::seconds(10);
};

/** What a TcpTransport has seen since it was made. */
struct TcpTransportCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  /** Bytes of those frames, lengths included. */
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped = 0;
  std::uint64_t malformed_frames = 0;
  /** Envelopes whose receiver threw. */
  std::uint64_t failed_deliveries = 0;
  std::uint64_t refused_connections = 0;
};

/**
 * Envelopes over TCP. Each destination has one outgoing connection, made on demand from the
 * listening address; incoming connections only receive. A frame is a length (4 bytes, big-endian)
 * and an encoded envelope. A frame given to a connection is never sent again on another. Malformed
 * frames close their connection. Runs on the dispatcher's strand; destroy it there or while the
 * io_context does not run.
 */
class TcpTransport final : public Transport {
 public:
  /** Listens at once; throws base::Error with InvalidAddress where it cannot. */
  TcpTransport(boost::asio::io_context& context, AsioDispatcher& dispatcher,
               const base::NodeAddress& listen, const TcpTransportOptions& options = {});
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  /** The bound address, with the real port where 0 was asked for. */
  const base::NodeAddress& localAddress() const override;
  void setReceiver(Receiver* receiver) override;
  void send(const base::NodeAddress& to, const wire::Envelope& envelope) override;
  void sendToAll(const std::vector<base::NodeAddress>& peers,
                 const wire::Envelope& envelope) override;
  const TcpTransportCounters& counters() const;

 private:
  /** An encoded envelope goes to one peer. */
  void sendFrame(const base::NodeAddress& to, const std::string& frame,
                 const wire::Envelope& envelope);

  class Shared;
  class Listener;
  class IncomingConnection;
  class OutgoingConnection;

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<Listener> listener_;
  std::map<base::NodeAddress, std::shared_ptr<OutgoingConnection>> outgoing_;
};

}  // namespace switchsaddle::transport
