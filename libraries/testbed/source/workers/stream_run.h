#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/http/server.h"
#include "workers/worker_state.h"

namespace switchsaddle::testbed {

/** A stream as asked for. */
struct StreamRequest {
  RequestIdentity identity;
  std::vector<PrefixSegment> parts;
  /** Tokens of the prompt after its shared parts. */
  std::uint32_t own_tokens = 0;
  std::uint32_t output_tokens = 1;
  /** Set where the prefill has been done by another worker. */
  bool prefilled = false;
};

/**
 * One stream: waits for a slot, prefills, sends pieces at the worker's speed with at most one
 * outstanding, and ends with [DONE]. Faults strike between pieces.
 */
class StreamRun : public PendingRequest, public std::enable_shared_from_this<StreamRun> {
 public:
  StreamRun(WorkerState& worker, StreamRequest request, http::ResponseWriterPtr writer);
  void start();

 private:
  void onSlot();
  void onPrefilled();
  void sendNextChunk();
  void sendChunk(std::string chunk);
  void onWritten(bool taken);
  /** Whether a fault ended or stopped the stream. */
  bool struck();
  void finish();
  void onClientDisconnected();
  /** Notes the end, frees the slot and lets go of this. */
  void close(const std::string& event);

  WorkerState& worker_;
  StreamRequest request_;
  http::ResponseWriterPtr writer_;
  base::TimerPtr prefill_timer_;
  base::TimerPtr chunk_timer_;
  SlotQueue::Ticket ticket_ = SlotQueue::Refused;
  std::string run_;
  std::string shown_run_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t chunks_ = 0;
  /** The index shown on the next piece. */
  std::uint64_t index_ = 0;
  bool running_ = false;
  bool closed_ = false;
};

}  // namespace switchsaddle::testbed
