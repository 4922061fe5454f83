#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** An encoded frame; the queues of all its destinations share it. */
using FramePtr = std::shared_ptr<const std::string>;

/** A frame and the identity of its envelope. */
struct QueuedFrame {
  FramePtr bytes;
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

  /** Removes the frames of one gathered write. @return them in order. */
  std::vector<FramePtr> popBatch();

  /** Removes all frames. @return them in order. */
  std::deque<QueuedFrame> clear();

  bool empty() const { return frames_.empty(); }

 private:
  std::deque<QueuedFrame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace switchsaddle::transport
