#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/transport/transport.h"

namespace boost::asio {
class io_context;
}

namespace switchsaddle::transport {

class AsioDispatcher;

/** Limits and time-outs of a TcpTransport. */
struct TcpTransportOptions {
  /** Maximum size of the body of a sent or received frame. */
  std::size_t frame_bytes = 64U << 20U;
  /** Maximum size of the queue of one destination; if it is exceeded, the oldest frames are
   * dropped. */
  std::size_t queue_bytes = 64U << 20U;
  /** What the frames for all destinations may use together, queued or being written; a frame that
   * finds no room takes the place of the oldest ones in the longest queue. A fourth is left to
   * frames of at most base::ByteBudget::SmallHolderBytes. */
  std::size_t send_bytes = 256U << 20U;
  /** What the unfinished frames of all incoming connections may use together; a frame that finds
   * no room takes the place of those whose connections have delivered none for the longest time. */
  std::size_t receive_bytes = 256U << 20U;
  /** Maximum number of incoming connections; a further one takes the place of the one that has
   * delivered no frame for the longest time. */
  std::size_t incoming_connections = 8192;
  base::Duration connect_timeout = std::chrono::seconds(1);
  /** TCP_USER_TIMEOUT: time for which sent bytes may stay unacknowledged. */
  base::Duration user_timeout = std::chrono::milliseconds(1500);
  /**
   * An outgoing connection is closed after this time without a frame. Gossip eventually contacts
   * every peer, and each open connection uses memory at both ends.
   */
  base::Duration idle_timeout = std::chrono::seconds(10);
};

/** @return the largest buffer of an unfinished frame whose body has this size. */
std::size_t frameBufferBytes(std::size_t frame_bytes);

/** @return the least `send_bytes` with which a frame whose body has this size can be sent. */
std::size_t leastSendBytes(std::size_t frame_bytes);

/** Counters of a TcpTransport since its creation. */
struct TcpTransportCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  /** Bytes of the frames sent, length fields included. */
  std::uint64_t bytes_sent = 0;
  /** Bytes of the frames received, length fields included. */
  std::uint64_t bytes_received = 0;
  /** Frames dropped because the queue was full, the connection failed or they were too large. */
  std::uint64_t frames_dropped = 0;
  std::uint64_t malformed_frames = 0;
  /** Envelopes whose receiver threw an exception. */
  std::uint64_t failed_deliveries = 0;
  std::uint64_t refused_connections = 0;
  /** Incoming connections closed because another connection or its frame needed the room. */
  std::uint64_t displaced_connections = 0;
};

/**
 * Transport over TCP. Each destination has one outgoing connection, opened on demand from the
 * listening address; incoming connections are only read. A frame consists of a length (4 bytes,
 * big-endian) and an encoded envelope; a malformed frame closes its connection.
 *
 * Invariant: a frame passed to a connection is never sent again on another one. Runs on the
 * dispatcher's strand; must be destroyed there or while the io_context does not run.
 */
class TcpTransport final : public Transport {
 public:
  /**
   * Starts to listen.
   * @param listen port 0 chooses a free port.
   * @throws base::Error with InvalidAddress, or AddressUnavailable if it cannot be taken now.
   */
  TcpTransport(boost::asio::io_context& context, AsioDispatcher& dispatcher,
               const base::NodeAddress& listen, const TcpTransportOptions& options = {});
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  /** @return the address bound, with the actual port. */
  const base::NodeAddress& localAddress() const override;
  void setReceiver(Receiver* receiver) override;
  void send(const base::NodeAddress& to, const wire::Envelope& envelope) override;
  void sendToAll(const std::vector<base::NodeAddress>& peers,
                 const wire::Envelope& envelope) override;
  const TcpTransportCounters& counters() const;

 private:
  class Shared;
  class Listener;
  class IncomingConnection;
  class OutgoingConnection;

  OutgoingConnection& connectionTo(const base::NodeAddress& peer);
  /** @return whether the frame could be counted; drops queued frames for it. */
  bool makeRoom(base::ByteReservation& reservation, std::size_t bytes);
  /** @return the connection with the longest queue, or nullptr if all queues are empty. */
  OutgoingConnection* longestQueue() const;

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<Listener> listener_;
  std::map<base::NodeAddress, std::shared_ptr<OutgoingConnection>> outgoing_;
};

}  // namespace switchsaddle::transport
