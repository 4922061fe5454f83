#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::transport {

/** Names an envelope that was dropped because its peer refused the connection. */
struct RefusedEnvelope {
  wire::EnvelopeKind kind = wire::EnvelopeKind::Notification;
  std::uint64_t request_id = 0;
};

/** What a transport tells its user, on the user's dispatcher. */
class Receiver {
 public:
  virtual ~Receiver() = default;
  virtual void onEnvelope(wire::Envelope envelope) = 0;
  /** The peer refused the connection outright: no process listens there. The envelope, one of those
   * sent to it, was dropped for this; told once for each such envelope. */
  virtual void onRefused(const base::NodeAddress& peer, const RefusedEnvelope& envelope) = 0;
};

/**
 * Sends envelopes to peers by address. Delivery is not promised: an envelope may be lost, but it is
 * never delivered twice by one send, never altered, and those between one pair of nodes keep their
 * order while the connection lasts. send() never blocks; queues towards a peer that does not take
 * them are bounded, the oldest being dropped. All calls are made on the dispatcher's strand.
 */
class Transport {
 public:
  virtual ~Transport() = default;
  virtual const base::NodeAddress& localAddress() const = 0;
  virtual void setReceiver(Receiver* receiver) = 0;
  virtual void send(const base::NodeAddress& to, const wire::Envelope& envelope) = 0;
  /** Sends one envelope to each of them. */
  virtual void sendToAll(const std::vector<base::NodeAddress>& peers,
                         const wire::Envelope& envelope) {
    for (const base::NodeAddress& peer : peers) {
      send(peer, envelope);
    }
  }
};

}  // namespace switchsaddle::transport
