#include "frame_queue.h"

#include <utility>

namespace switchsaddle::transport {

namespace {

/** Maximum number and size of the frames in one gathered write. */
constexpr std::size_t BatchFrames = 64;
constexpr std::size_t BatchBytes = 1U << 20U;

}  // namespace

std::size_t FrameQueue::push(QueuedFrame frame, std::size_t limit_bytes) {
  bytes_ += frame.frame->bytes.size();
  frames_.push_back(std::move(frame));
  std::size_t dropped = 0;
  while (bytes_ > limit_bytes && !frames_.empty()) {
    dropOldest();
    ++dropped;
  }
  return dropped;
}

void FrameQueue::dropOldest() {
  bytes_ -= frames_.front().frame->bytes.size();
  frames_.pop_front();
}

std::vector<FramePtr> FrameQueue::popBatch() {
  std::vector<FramePtr> batch;
  std::size_t batch_bytes = 0;
  while (!frames_.empty() && batch.size() < BatchFrames && batch_bytes < BatchBytes) {
    batch_bytes += frames_.front().frame->bytes.size();
    batch.push_back(std::move(frames_.front().frame));
    frames_.pop_front();
  }
  bytes_ -= batch_bytes;
  return batch;
}

std::deque<QueuedFrame> FrameQueue::clear() {
  bytes_ = 0;
  return std::exchange(frames_, {});
}

}  // namespace switchsaddle::transport
