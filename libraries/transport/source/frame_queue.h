#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "switchsaddle/transport/transport.h"

namespace switchsaddle::transport {

/** An encoded frame and the identity of its envelope. */
struct QueuedFrame {
  std::string bytes;
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

  /** Removes and @return the frames for one gathered write, without their envelopes. */
  std::vector<std::string> popBatch();

  /** Removes and @return all frames. */
  std::deque<QueuedFrame> clear();

  bool empty() const { return frames_.empty(); }

 private:
  std::deque<QueuedFrame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace switchsaddle::transport
