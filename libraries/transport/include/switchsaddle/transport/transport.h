#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::transport {

/** Identifies an envelope that was dropped because its peer refused the connection. */
struct RefusedEnvelope {
  wire::EnvelopeKind kind = wire::EnvelopeKind::Notification;
  std::uint64_t request_id = 0;
};

/** Receiver of a transport's envelopes and failures. Called on the dispatcher's strand. */
class Receiver {
 public:
  virtual ~Receiver() = default;
  /** Called for each envelope received. */
  virtual void onEnvelope(wire::Envelope envelope) = 0;
  /**
   * Called for each envelope that was dropped because the peer refused the connection: no process
   * listens at its address.
   */
  virtual void onRefused(const base::NodeAddress& peer, const RefusedEnvelope& envelope) = 0;
};

/**
 * Datagram-like transport of envelopes between nodes. Delivery is best effort: an envelope may be
 * lost, but is never duplicated or altered, and envelopes of one connection stay in order. The
 * queue of each peer is limited; if it is full, the oldest envelopes are dropped. All calls are
 * made on the dispatcher's strand and never block.
 */
class Transport {
 public:
  virtual ~Transport() = default;
  /** @return the address at which peers reach this node. */
  virtual const base::NodeAddress& localAddress() const = 0;
  /** @param receiver not owned; nullptr drops received envelopes. */
  virtual void setReceiver(Receiver* receiver) = 0;
  virtual void send(const base::NodeAddress& to, const wire::Envelope& envelope) = 0;
  /** Sends an envelope to each peer. */
  virtual void sendToAll(const std::vector<base::NodeAddress>& peers,
                         const wire::Envelope& envelope) {
    for (const base::NodeAddress& peer : peers) {
      send(peer, envelope);
    }
  }
};

}  // namespace switchsaddle::transport
