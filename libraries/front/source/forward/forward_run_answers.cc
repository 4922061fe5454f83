#include <algorithm>
#include <string>
#include <utility>

#include "forward/forward_run.h"
#include "request/caller_answers.h"

// How a forwarded request ends: rejected, answered, aborted, or cancelled by its caller.

namespace switchsaddle::front {

using base::ResultCode;

namespace {

/** Retry-After of requests that no worker accepted. */
constexpr base::Duration NoWorkerRetryAfter = std::chrono::milliseconds(200);

/** @return seconds with three decimal places, the format of a forwarded request's Retry-After. */
std::string secondsText(base::Duration duration) {
  const std::int64_t milliseconds = std::max<std::int64_t>(1, base::toMilliseconds(duration));
  const std::string fraction = std::to_string(1'000 + milliseconds % 1'000);
  return std::to_string(milliseconds / 1'000) + "." + fraction.substr(1);
}

ForwardLoss lossOf(ResultCode code) {
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

void ForwardRun::fail(ResultCode code) {
  if (stream_started_) {
    abortStream(code);
  } else if (worker_error_) {
    answer(std::move(*worker_error_), "ran", code);
  } else if (may_have_run_ > 0) {
    answerUnknown(code);
  } else {
    reject(code == ResultCode::TimeLimitPassed ? ResultCode::NoWorkerAvailable : code,
           NoWorkerRetryAfter);
  }
}

void ForwardRun::answerUnknown(ResultCode code) {
  const bool timed_out = code == ResultCode::TimeLimitPassed;
  recordLoss(timed_out ? ForwardLoss::TimeLimit : ForwardLoss::WorkerLost);
  logUnanswered(request_.request_id, *ended_dispatch_);
  const ResultCode answered = timed_out ? code : ResultCode::OutcomeNotKnown;
  answer(errorAnswer(answered, {Outcome::Unknown, 0, {}, {}}), "unknown", answered);
}

void ForwardRun::reject(ResultCode code, base::Duration retry_after) {
  ++environment_.counters.refusals[code];
  recordLoss(lossOf(code));
  if (request_.tenant != nullptr && acquired_quota_units_ > 0) {
    environment_.quotas.refund(*request_.tenant, acquired_quota_units_);
  }
  http::Response response = errorAnswer(code, {Outcome::NotRun, 0, {}, {}});
  response.headers.push_back({"Retry-After", secondsText(retry_after)});
  answer(std::move(response), "not-run", code);
}

void ForwardRun::answer(http::Response response, std::string_view outcome, ResultCode code) {
  environment_.counters.countRequest("forwarded", outcome, code);
  const auto self = shared_from_this();
  release();
  caller_.respond(std::move(response));
}

void ForwardRun::abortStream(ResultCode code) {
  ++environment_.counters.streams_broken;
  recordLoss(code == ResultCode::TimeLimitPassed ? ForwardLoss::TimeLimit
                                                 : ForwardLoss::WorkerLost);
  if (ended_dispatch_) {
    logUnanswered(request_.request_id, *ended_dispatch_);
  }
  environment_.counters.countRequest("forwarded-stream", "broken", code);
  const auto self = shared_from_this();
  release();
  caller_.abort();
}

void ForwardRun::cancel() {
  if (ended_) {
    return;
  }
  if (placement_) {
    logCallerLeft(request_.request_id, placement_->worker.entry.id);
  }
  endDispatch(worker_health::DispatchEnd::Abandoned);
  const auto self = shared_from_this();
  release();
  caller_.abort();
}

void ForwardRun::abandon() {
  ended_ = true;
  ++dispatch_;
  resume_ = nullptr;
  deadline_.stop();
  call_.cancel();
}

void ForwardRun::release() {
  const auto self = shared_from_this();
  abandon();
  flow_.runs_.erase(self);
}

}  // namespace switchsaddle::front
