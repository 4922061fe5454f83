#include "switchsaddle/lightweight_fronts/counting_transport.h"

#include <utility>

namespace switchsaddle::lightweight_fronts {

CountingTransport::CountingTransport(transport::Transport& inner, KindCounts& sent,
                                     KindCounts& received, bool count_bytes)
    : inner_(inner), sent_(sent), received_(received), count_bytes_(count_bytes) {
  inner_.setReceiver(this);
}

CountingTransport::~CountingTransport() {
  inner_.setReceiver(nullptr);
}

const base::NodeAddress& CountingTransport::localAddress() const {
  return inner_.localAddress();
}

void CountingTransport::setReceiver(transport::Receiver* receiver) {
  receiver_ = receiver;
}

void CountingTransport::send(const base::NodeAddress& to, const wire::Envelope& envelope) {
  count(sent_, envelope);
  inner_.send(to, envelope);
}

void CountingTransport::onEnvelope(wire::Envelope envelope) {
  count(received_, envelope);
  if (receiver_ != nullptr) {
    receiver_->onEnvelope(std::move(envelope));
  }
}

void CountingTransport::onRefused(const base::NodeAddress& peer,
                                  const transport::RefusedEnvelope& envelope) {
  if (receiver_ != nullptr) {
    receiver_->onRefused(peer, envelope);
  }
}

void CountingTransport::count(KindCounts& counts, const wire::Envelope& envelope) const {
  KindCount& kind = counts.at(envelope.message.index());
  ++kind.frames;
  if (count_bytes_) {
    kind.bytes += wire::encode(envelope).size();
  }
}

}  // namespace switchsaddle::lightweight_fronts
