#pragma once

#include <memory>
#include <set>
#include <string>

#include "switchsaddle/front/one_shot_flow.h"

namespace switchsaddle::front {

/**
 * One one-shot on its way. Owned by its flow until it is answered; whatever it asked for holds it
 * weakly. The deadline's timer runs from start to answer.
 */
class OneShotRun : public std::enable_shared_from_this<OneShotRun> {
 public:
  OneShotRun(OneShotFlow& flow, OneShotRequest request, OneShotCallback callback);
  void start();
  /** The flow ends: nothing is done or told any more, whatever slots come free. */
  void abandon();

  /** Ends of the dispatched attempt; ignored where another attempt or state has come since. */
  void onHead(const std::string& attempt, const WorkerHead& head);
  void onBytes(const std::string& attempt, const std::string& bytes);
  void onComplete(const std::string& attempt);
  void onFailure(const std::string& attempt, WorkerFailure failure, bool refused);

 private:
  enum class State : std::uint8_t { Claiming, AwaitingSlot, Dispatched, Recording, Over };

  void claim();
  void sendBegin();
  void onClaim(const wire::ClaimReply& reply);
  void acquireSlot();
  void onSlot(admission::SlotOutcome outcome);
  void dispatch();
  void send(const workers::Worker& worker);
  void withhold(base::ResultCode code, std::uint32_t retry_after_ms);
  void retryOrWithhold();
  base::ResultCode mayRetry();
  bool spendRetry();
  /** The worker at hand has provably run nothing. */
  void endNotRun();
  void endRan();
  void endUnknown();
  void leaveWorker();
  void onDeadline();
  void answer(const OneShotAnswer& answer);
  bool isDispatched(const std::string& attempt) const;
  wire::ClaimFinish finishOf(wire::ClaimState state) const;

  OneShotFlow& flow_;
  const OneShotEnvironment& environment_;
  OneShotRequest request_;
  OneShotCallback callback_;
  State state_ = State::Claiming;
  /** Name of this attempt: the claim's run and the worker's Request-Id. */
  std::string run_;
  bool seen_in_flight_elsewhere_ = false;
  bool first_attempt_counted_ = false;
  bool grace_given_ = false;
  admission::SlotPermitPtr slot_;
  workers::Worker worker_;
  std::set<std::string> excluded_;
  WorkerCallPtr call_;
  bool head_matches_ = false;
  /** The matching answer has come whole. */
  bool ran_ = false;
  std::string body_;
  base::TimerPtr deadline_timer_;
  base::TimerPtr poll_timer_;
};

}  // namespace switchsaddle::front
