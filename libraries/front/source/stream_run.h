#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/front/stream_flow.h"
#include "switchsaddle/streams/relay_machine.h"

namespace switchsaddle::front {

/** One stream on its way. Owned by its flow until it has ended; whatever it asked for holds it
 * weakly. */
class StreamRun : public StreamHandle, public std::enable_shared_from_this<StreamRun> {
 public:
  StreamRun(StreamFlow& flow, StreamRequest request, std::shared_ptr<StreamSink> sink);
  void start();
  /** The flow goes away: nothing is told to anyone any more. */
  void abandon();
  void cancel() override;

  /** Ends of one attempt; ignored where another attempt has begun since. */
  void onHead(const std::string& attempt, const WorkerHead& head);
  void onBytes(const std::string& attempt, const std::string& bytes, std::function<void()> resume);
  void onComplete(const std::string& attempt);
  void onFailure(const std::string& attempt, WorkerFailure failure, bool refused);

 private:
  void admit(StageTicket ticket);
  void onSlot(admission::SlotOutcome outcome);
  void place();
  std::optional<routing::Placement> choose();
  bool mayDispatch(const routing::Placement& placement);
  void send(const routing::Placement& placement);
  void attemptFailed(base::ResultCode code);
  void sendEvents(const std::vector<std::string>& events);
  void onWritten(bool written);
  void finish(base::ResultCode code);
  void reportBroken(base::ResultCode code);
  void refuse(base::ResultCode code, std::uint32_t retry_after_ms);
  void completePlacement(bool failed);
  void release();
  bool isCurrent(const std::string& attempt) const;

  StreamFlow& flow_;
  const StreamEnvironment& environment_;
  StreamRequest request_;
  std::shared_ptr<StreamSink> sink_;
  streams::RelayMachine relay_;
  bool over_ = false;
  std::uint32_t attempts_ = 0;
  bool sent_ = false;
  base::ResultCode last_failure_ = base::ResultCode::NoWorkerAvailable;
  StageTicket ticket_;
  admission::SlotPermitPtr slot_;
  std::vector<std::string> excluded_;
  std::optional<routing::Placement> placement_;
  routing::Completion completion_;
  /** A request has gone out for the present placement. */
  bool placement_sent_ = false;
  base::TimePoint dispatched_at_;
  std::string attempt_;
  /** The request id of the last dispatch. */
  std::string sent_request_id_;
  WorkerCallPtr call_;
  std::function<void()> resume_;
  base::TimerPtr deadline_timer_;
};

}  // namespace switchsaddle::front
