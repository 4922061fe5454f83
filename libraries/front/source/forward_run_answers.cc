#include <algorithm>
#include <string>
#include <utility>

#include "caller_answers.h"
#include "forward_run.h"

// How a forwarded request ends: refused, answered, broken off, or left by its caller.

namespace switchsaddle::front {

using base::ResultCode;

namespace {

/** When a caller that found no worker is to come back. */
constexpr base::Duration NoWorkerRetryAfter = std::chrono::milliseconds(200);

/** Whole seconds and thousandths, as a Retry-After with a fraction. */
std::string secondsText(base::Duration duration) {
  const std::int64_t milliseconds = std::max<std::int64_t>(1, base::toMilliseconds(duration));
  const std::string fraction = std::to_string(1'000 + milliseconds % 1'000);
  return std::to_string(milliseconds / 1'000) + "." + fraction.substr(1);
}

ForwardLoss refusalOf(ResultCode code) {
  switch (code) {
    case ResultCode::QuotaSpent:
      return ForwardLoss::QuotaSpent;
    case ResultCode::NotRun:
      return ForwardLoss::WorkersFull;
    case ResultCode::TimeLimitPassed:
      return ForwardLoss::TimeLimit;
    default:
      return ForwardLoss::NoWorker;
  }
}

}  // namespace

void ForwardRun::giveUp(ResultCode code) {
  if (stream_started_) {
    breakStream(code);
  } else if (worker_failure_) {
    answer(std::move(*worker_failure_), "ran", code);
  } else if (may_have_run_ > 0) {
    const bool late = code == ResultCode::TimeLimitPassed;
    noteLoss(late ? ForwardLoss::TimeLimit : ForwardLoss::WorkerLost);
    const ResultCode told = late ? code : ResultCode::OutcomeNotKnown;
    answer(errorAnswer(told, {Outcome::Unknown, 0, {}, {}}), "unknown", told);
  } else {
    refuse(code == ResultCode::TimeLimitPassed ? ResultCode::NoWorkerAvailable : code,
           NoWorkerRetryAfter);
  }
}

void ForwardRun::refuse(ResultCode code, base::Duration retry_after) {
  ++environment_.counters.refusals[code];
  noteLoss(refusalOf(code));
  if (request_.tenant != nullptr && quota_taken_ > 0) {
    environment_.quotas.refund(*request_.tenant, quota_taken_);
  }
  http::Response response = errorAnswer(code, {Outcome::NotRun, 0, {}, {}});
  response.headers.push_back({"Retry-After", secondsText(retry_after)});
  answer(std::move(response), "not-run", code);
}

void ForwardRun::answer(http::Response response, std::string_view outcome, ResultCode code) {
  environment_.counters.countRequest("forwarded", outcome, code);
  const auto self = shared_from_this();
  release();
  writer_->respond(std::move(response));
}

void ForwardRun::breakStream(ResultCode code) {
  ++environment_.counters.streams_broken;
  noteLoss(code == ResultCode::TimeLimitPassed ? ForwardLoss::TimeLimit : ForwardLoss::WorkerLost);
  environment_.counters.countRequest("forwarded-stream", "broken", code);
  const auto self = shared_from_this();
  release();
  writer_->abort();
}

void ForwardRun::cancel() {
  if (over_) {
    return;
  }
  endAttempt(worker_health::DispatchEnd::Abandoned);
  const auto self = shared_from_this();
  release();
  writer_->abort();
}

void ForwardRun::abandon() {
  over_ = true;
  ++dispatch_;
  resume_ = nullptr;
  if (limit_timer_) {
    limit_timer_->disable();
  }
  if (call_) {
    call_->cancel();
    call_.reset();
  }
}

void ForwardRun::release() {
  const auto self = shared_from_this();
  abandon();
  flow_.runs_.erase(self);
}

}  // namespace switchsaddle::front
