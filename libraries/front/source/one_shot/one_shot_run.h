#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "attempt/active_call.h"
#include "attempt/attempt_list.h"
#include "attempt/dispatch_guard.h"
#include "attempt/request_deadline.h"
#include "attempt/response_memory.h"
#include "switchsaddle/front/one_shot/one_shot_flow.h"

namespace switchsaddle::front {

/**
 * One one-shot request from its claim to its answer. Owned by its flow until it is answered; its
 * callbacks hold it weakly.
 *
 * Invariants: the deadline runs from start() until the answer. A claim is won before each dispatch.
 * The end of the claim is recorded before the request is answered, unless the deadline passes. Runs
 * on the control strand.
 */
class OneShotRun : public std::enable_shared_from_this<OneShotRun> {
 public:
  OneShotRun(OneShotFlow& flow, OneShotRequest request, OneShotCallback callback);
  void start();
  /** Ends the run without an answer, since its flow is being destroyed. */
  void abandon();

  // Events of an attempt, by its run id; ignored unless it is the current one.
  void onHead(const std::string& attempt, const WorkerHead& head);
  void onBytes(const std::string& attempt, const std::string& bytes,
               const std::function<void()>& resume);
  void onComplete(const std::string& attempt);
  void onFailure(const std::string& attempt, WorkerFailure failure, bool refused);

 private:
  enum class State : std::uint8_t { Claiming, AwaitingSlot, Dispatched, Recording, Answered };

  void claim();
  void sendBegin();
  void onClaim(const wire::ClaimReply& reply);
  void onExistingClaim(const wire::ClaimReply& reply);
  void acquireSlot();
  void onSlot(admission::SlotOutcome outcome);
  void dispatch();
  void send(const workers::Worker& worker);
  WorkerRequest workerRequest() const;
  /** Records that the request has not run, then answers it with the code. */
  void reject(base::ResultCode code, std::uint32_t retry_after_ms);
  void retryOrReject();
  /** @return Ok if another attempt is allowed, else the code of the answer. */
  base::ResultCode checkRetry();
  double retryShare() const;
  void appendToBody(const std::string& bytes);
  /** The current attempt has provably not run. */
  void endNotRun();
  void endRan();
  void endUnknown();
  void endAttempt();
  void onDeadline();
  void answer(const OneShotAnswer& answer);
  bool isDispatched(const std::string& attempt) const;
  wire::ClaimFinish finishOf(wire::ClaimState state) const;

  OneShotFlow& flow_;
  const OneShotEnvironment& environment_;
  OneShotRequest request_;
  OneShotCallback callback_;
  AttemptList attempts_;
  DispatchGuard guard_;
  RequestDeadline deadline_;
  base::TimerPtr poll_timer_;
  State state_ = State::Claiming;
  /** Id of the current attempt: the run in the claim and the Request-Id sent to the worker. */
  std::string run_;
  bool seen_in_flight_elsewhere_ = false;
  /** Whether the deadline has passed and was extended to record the end. */
  bool deadline_extended_ = false;
  admission::SlotPermitPtr slot_;
  workers::Worker worker_;
  ActiveCall call_;
  /** Whether the worker sent a success header with the id of the current attempt. */
  bool head_matches_ = false;
  /** Whether the complete response of the current attempt was received. */
  bool ran_ = false;
  std::string body_;
  ResponseMemory response_memory_;
};

}  // namespace switchsaddle::front
