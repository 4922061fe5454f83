#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/http/server.h"
#include "workers/worker_state.h"

namespace switchsaddle::testbed {

/** A parsed stream request. */
struct StreamRequest {
  RequestIdentity identity;
  std::vector<PrefixSegment> segments;
  /** Tokens of the prompt after its shared segments. */
  std::uint32_t own_tokens = 0;
  std::uint32_t output_tokens = 1;
  /** Set if another worker has done the prefill. */
  bool prefilled = false;

  /** @return the tokens of the whole prompt. */
  std::uint64_t promptTokens() const;
};

/**
 * One stream: waits for a slot, prefills, sends chunks at the worker's speed and ends with [DONE].
 * At most one chunk is being written at a time. Faults are injected between chunks.
 */
class StreamRun : public PendingRequest, public std::enable_shared_from_this<StreamRun> {
 public:
  StreamRun(WorkerState& worker, StreamRequest request, http::ResponseWriterPtr writer);
  void start();

 private:
  void onSlotAcquired();
  void onPrefilled();
  void sendNextChunk();
  void sendChunk(std::string chunk);
  void onWritten(bool taken);
  /** Injects an active fault; returns whether it ended or stalled the stream. */
  bool injectFault();
  void finish();
  void onClientDisconnected();
  /** Records the end, frees the slot and removes this run from the pending requests. */
  void close(const std::string& event);

  WorkerState& worker_;
  StreamRequest request_;
  http::ResponseWriterPtr writer_;
  base::TimerPtr prefill_timer_;
  base::TimerPtr chunk_timer_;
  SlotQueue::Ticket ticket_ = SlotQueue::Refused;
  std::string run_;
  std::string sent_run_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t chunks_ = 0;
  /** The index of the next chunk as sent; a fault may change it. */
  std::uint64_t index_ = 0;
  bool running_ = false;
  bool closed_ = false;
};

}  // namespace switchsaddle::testbed
