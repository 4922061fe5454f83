#pragma once

#include <array>
#include <cstdint>
#include <variant>

#include "switchsaddle/transport/transport.h"

namespace switchsaddle::lightweight_fronts {

/** Frames and bytes of one kind of message. */
struct KindCount {
  std::uint64_t frames = 0;
  /** Encoded size; zero if sizes are not counted. */
  std::uint64_t bytes = 0;
};

/** Counts by the message's index in wire::Message. */
using KindCounts = std::array<KindCount, std::variant_size_v<wire::Message>>;

/**
 * Forwards envelopes to another transport and counts them by kind. Counting bytes encodes each
 * envelope once more, so that processor time must be measured without it. Runs on the transport's
 * strand.
 */
class CountingTransport final : public transport::Transport, private transport::Receiver {
 public:
  /**
   * @param inner must outlive this object, as must the counts, which several transports may share.
   * @param count_bytes whether to count encoded sizes.
   */
  CountingTransport(transport::Transport& inner, KindCounts& sent, KindCounts& received,
                    bool count_bytes);
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
  bool count_bytes_;
};

}  // namespace switchsaddle::lightweight_fronts
