#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attempt/active_call.h"
#include "attempt/attempt_list.h"
#include "attempt/dispatch_guard.h"
#include "attempt/request_deadline.h"
#include "attempt/response_memory.h"
#include "switchsaddle/front/admission/admission_gate.h"
#include "switchsaddle/front/stream/stream_flow.h"
#include "switchsaddle/streams/relay_machine.h"

namespace switchsaddle::front {

/**
 * One stream from its admission to its end. Owned by its flow until it has ended; its callbacks
 * hold it weakly.
 *
 * Invariants: once ended_ is set, the sink gets at most the call that ends it, and the slot and the
 * stage are released. A placement is completed at the router before the next one is chosen.
 * Runs on the control strand.
 */
class StreamRun : public StreamHandle, public std::enable_shared_from_this<StreamRun> {
 public:
  StreamRun(StreamFlow& flow, StreamRequest request, std::shared_ptr<StreamSink> sink);
  void start();
  /** Ends the run without calling its sink, since its flow is being destroyed. */
  void abandon();
  void cancel() override;

  // Events of an attempt, by its id; ignored unless it is the current one.
  void onHead(const std::string& attempt, const WorkerHead& head);
  void onBytes(const std::string& attempt, const std::string& bytes, std::function<void()> resume);
  void onComplete(const std::string& attempt);
  void onFailure(const std::string& attempt, WorkerFailure failure, bool refused);

 private:
  void admit(StageTicket ticket);
  void onSlot(admission::SlotOutcome outcome);
  void place();
  std::optional<routing::Placement> choose();
  /** Rejects the request unless it may be dispatched to the placement. */
  bool mayDispatch(const routing::Placement& placement);
  PlacementVerdict evaluateAttempt(const routing::Placement& placement);
  void send(const routing::Placement& placement);
  WorkerRequest workerRequest(const routing::Placement& placement) const;
  void recordHead(const WorkerHead& head);
  void onFirstChunk();
  void onAttemptFailed(base::ResultCode code);
  void sendEvents(const std::vector<std::string>& events);
  /** @param bytes size of the event. */
  void onWritten(WriteOutcome outcome, std::size_t bytes);
  void resumeReading();
  /** Counts what the run holds of responses. @return false if there is no room for it. */
  bool takeResponseMemory();
  void onDeadline();
  void finish(base::ResultCode code);
  void reportBroken(base::ResultCode code);
  void reject(base::ResultCode code, std::uint32_t retry_after_ms);
  void completePlacement(bool failed);
  void release();
  bool isCurrent(const std::string& attempt) const;

  StreamFlow& flow_;
  const StreamEnvironment& environment_;
  StreamRequest request_;
  std::shared_ptr<StreamSink> sink_;
  streams::RelayMachine relay_;
  bool ended_ = false;
  AttemptList attempts_;
  DispatchGuard guard_;
  RequestDeadline deadline_;
  ResponseMemory response_memory_;
  /** Bytes of the events that the sink has not written yet. */
  std::size_t outstanding_bytes_ = 0;
  /** Whether a worker may have received the request. */
  bool sent_ = false;
  base::ResultCode last_failure_ = base::ResultCode::NoWorkerAvailable;
  StageTicket ticket_;
  admission::SlotPermitPtr slot_;
  std::optional<routing::Placement> placement_;
  routing::Completion completion_;
  /** Whether the request was dispatched to the current placement. */
  bool placement_sent_ = false;
  base::TimePoint dispatched_at_;
  /** Id of the current attempt; empty if there is none. */
  std::string attempt_;
  /** The request id of the last dispatch. */
  std::string sent_request_id_;
  ActiveCall call_;
  /** Resumes reading from the worker; empty while reading continues. */
  std::function<void()> resume_;
};

}  // namespace switchsaddle::front
