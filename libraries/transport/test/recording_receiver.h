#pragma once

#include <vector>

#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** Records all calls. */
class RecordingReceiver : public Receiver {
 public:
  void onEnvelope(wire::Envelope envelope) override { envelopes.push_back(std::move(envelope)); }
  void onRefused(const base::NodeAddress& peer, const RefusedEnvelope& envelope) override {
    refused.push_back(peer);
    refused_ids.push_back(envelope.request_id);
  }

  std::vector<wire::Envelope> envelopes;
  std::vector<base::NodeAddress> refused;
  std::vector<std::uint64_t> refused_ids;
};

/** A notification with a number and a payload. */
inline wire::Envelope numbered(const Transport& from, std::uint64_t number,
                               std::string payload = {}) {
  wire::AcceptRequest message;
  message.key = "key";
  message.value = std::move(payload);
  return {from.localAddress(), wire::EnvelopeKind::Notification, number, std::move(message)};
}

}  // namespace switchsaddle::transport
