#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** An encoded frame, and what it takes of the budget of all frames until it is destroyed. */
struct Frame {
  Frame(std::string frame_bytes, std::shared_ptr<base::ByteBudget> budget)
      : bytes(std::move(frame_bytes)), reservation(std::move(budget)) {}

  std::string bytes;
  base::ByteReservation reservation;
};

/** The queues of all destinations of a frame share it. */
using FramePtr = std::shared_ptr<const Frame>;

/** A frame and the identity of its envelope. */
struct QueuedFrame {
  FramePtr frame;
  RefusedEnvelope envelope;
};

/** Queue of the frames for one destination, limited in bytes. */
class FrameQueue {
 public:
  /**
   * Appends a frame, then drops the oldest frames until the queue is within the limit.
   * @return the number of frames dropped.
   */
  std::size_t push(QueuedFrame frame, std::size_t limit_bytes);

  /** Removes the oldest frame; the queue must not be empty. */
  void dropOldest();

  /** Removes the frames of one gathered write. @return them in order. */
  std::vector<FramePtr> popBatch();

  /** Removes all frames. @return them in order. */
  std::deque<QueuedFrame> clear();

  bool empty() const { return frames_.empty(); }
  /** @return the bytes of all frames. */
  std::size_t bytes() const { return bytes_; }

 private:
  std::deque<QueuedFrame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace switchsaddle::transport
