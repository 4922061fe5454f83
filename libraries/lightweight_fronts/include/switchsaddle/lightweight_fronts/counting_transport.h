#pragma once

#include <array>
#include <cstdint>
#include <variant>

#include "switchsaddle/transport/transport.h"

namespace switchsaddle::lightweight_fronts {

/** Frames and bytes of one kind of message. */
struct KindCount {
  std::uint64_t frames = 0;
  /** Encoded size; zero where sizes are not weighed. */
  std::uint64_t bytes = 0;
};

/** Counts by the message's index in wire::Message. */
using KindCounts = std::array<KindCount, std::variant_size_v<wire::Message>>;

/** The name of a kind of message, by its index in wire::Message. */
const char* kindName(std::size_t kind);

/**
 * Passes envelopes on to another transport, which outlives it, and counts them by kind. Weighing
 * them encodes each once more, so that processor time is measured without it. Runs on the
 * transport's strand.
 */
class CountingTransport final : public transport::Transport, private transport::Receiver {
 public:
  /** The counts outlive the transport; several transports may share them. */
  CountingTransport(transport::Transport& inner, KindCounts& sent, KindCounts& received,
                    bool weigh);
  ~CountingTransport() override;

  const base::NodeAddress& localAddress() const override;
  void setReceiver(transport::Receiver* receiver) override;
  void send(const base::NodeAddress& to, const wire::Envelope& envelope) override;

 private:
  void onEnvelope(wire::Envelope envelope) override;
  void onRefused(const base::NodeAddress& peer,
                 const transport::RefusedEnvelope& envelope) override;
  void count(KindCounts& counts, const wire::Envelope& envelope) const;

  transport::Transport& inner_;
  transport::Receiver* receiver_ = nullptr;
  KindCounts& sent_;
  KindCounts& received_;
  bool weigh_;
};

}  // namespace switchsaddle::lightweight_fronts
