#include "one_shot/one_shot_run.h"

#include <utility>

#include "attempt/attempt_observer.h"

namespace switchsaddle::front {

using base::ResultCode;
using wire::ClaimState;

namespace {

/** Interval for polling a claim that is in flight at another front. */
constexpr base::Duration PollInterval = std::chrono::milliseconds(100);
/** Time to record that the request has not run after the caller's deadline has passed. */
constexpr base::Duration RecordGrace = std::chrono::milliseconds(500);
/** Maximum size of a response that is recorded in the claim. */
constexpr std::size_t MaximumAnswerBytes = 1U << 20U;
/** Retries of recording an end if the core can't be reached. */
constexpr int RecordRetries = 10;
/** Copies of a response while it is recorded: the run's, the message's, the frame's. */
constexpr std::size_t AnswerCopies = 3;
constexpr std::uint16_t StatusOk = 200;

using OneShotObserver = AttemptObserver<WorkerHead, OneShotRun, std::string>;

OneShotAnswer notRun(ResultCode code, std::uint32_t retry_after_ms) {
  OneShotAnswer answer;
  answer.outcome = Outcome::NotRun;
  answer.code = code;
  answer.retry_after_ms = retry_after_ms;
  return answer;
}

OneShotAnswer unknown(ResultCode code) {
  OneShotAnswer answer;
  answer.outcome = Outcome::Unknown;
  answer.code = code;
  return answer;
}

}  // namespace

OneShotRun::OneShotRun(OneShotFlow& flow, OneShotRequest request, OneShotCallback callback)
    : flow_(flow),
      environment_(flow.environment_),
      request_(std::move(request)),
      callback_(std::move(callback)),
      attempts_(environment_.retries, environment_.counters, request_.service),
      guard_(environment_.session, environment_.fleet_view),
      deadline_(environment_.dispatcher, [this] { onDeadline(); }),
      poll_timer_(environment_.dispatcher.createTimer([this] { sendBegin(); })),
      response_memory_(environment_.response_memory) {}

void OneShotRun::start() {
  deadline_.start(request_.deadline);
  claim();
}

void OneShotRun::abandon() {
  state_ = State::Answered;
  deadline_.stop();
  poll_timer_->disable();
  call_.cancel();
}

void OneShotRun::claim() {
  state_ = State::Claiming;
  run_ = flow_.newRunName();
  sendBegin();
}

void OneShotRun::sendBegin() {
  const wire::ClaimBegin begin{request_.tenant, request_.idempotency_key, request_.fingerprint,
                               run_, wire::ClaimBegin{}.lifetime_s};
  auto on_reply = [flow = &flow_, weak = weak_from_this(),
                   withdrawal = finishOf(ClaimState::NotRun)](const wire::ClaimReply& reply) {
    const auto run = weak.lock();
    const bool awaited = run && run->state_ == State::Claiming && run->run_ == withdrawal.run;
    if (!reply.available || (reply.recorded && !awaited)) {
      // The key must not remain claimed by an attempt that will never be dispatched.
      flow->record(withdrawal, {}, RecordRetries);
    }
    if (awaited) {
      run->onClaim(reply);
    }
  };
  environment_.claims.begin(begin, flow_.callbacks_->guard(std::move(on_reply)));
}

void OneShotRun::onClaim(const wire::ClaimReply& reply) {
  if (!reply.available) {
    // An earlier attempt with this key may have run, so "not run" is not proven.
    answer(unknown(ResultCode::ClaimsUnavailable));
    return;
  }
  if (reply.recorded) {
    acquireSlot();
    return;
  }
  onExistingClaim(reply);
}

void OneShotRun::onExistingClaim(const wire::ClaimReply& reply) {
  if (reply.state != ClaimState::NotRun && reply.fingerprint != request_.fingerprint) {
    answer(unknown(ResultCode::KeyReusedForOtherRequest));
    return;
  }
  if (reply.state == ClaimState::Ran) {
    OneShotAnswer recorded;
    recorded.outcome = Outcome::Ran;
    recorded.replayed = true;
    recorded.answer = reply.answer;
    answer(recorded);
    return;
  }
  if (reply.state == ClaimState::Unknown) {
    answer(unknown(ResultCode::OutcomeUnknown));
    return;
  }
  seen_in_flight_elsewhere_ = true;
  poll_timer_->enable(PollInterval);
}

void OneShotRun::acquireSlot() {
  state_ = State::AwaitingSlot;
  environment_.slots.acquire(request_.branch,
                             [weak = weak_from_this()](admission::SlotOutcome outcome) {
                               if (const auto run = weak.lock()) {
                                 run->onSlot(std::move(outcome));
                               }
                             });
}

void OneShotRun::onSlot(admission::SlotOutcome outcome) {
  if (state_ != State::AwaitingSlot) {
    return;
  }
  if (!outcome.permit) {
    reject(outcome.code, outcome.retry_after_ms);
    return;
  }
  slot_ = std::move(outcome.permit);
  dispatch();
}

void OneShotRun::dispatch() {
  const workers::WorkerSnapshotPtr snapshot = environment_.fleet_view.workers();
  const workers::Worker* worker = flow_.chooseWorker(*snapshot, request_, attempts_.excluded());
  if (worker == nullptr) {
    reject(ResultCode::NoWorkerAvailable, OneShotAnswer{}.retry_after_ms);
    return;
  }
  if (const ResultCode code = guard_.checkSession(); code != ResultCode::Ok) {
    reject(code, OneShotAnswer{}.retry_after_ms);
    return;
  }
  if (const ResultCode code = guard_.checkKey(request_.key_hash); code != ResultCode::Ok) {
    reject(code, 0);
    return;
  }
  // The budget may have been exhausted since checkRetry(), as claiming again takes time.
  if (attempts_.dispatched() > 0 && !attempts_.acquireRetry(retryShare())) {
    reject(ResultCode::RetryBudgetSpent, OneShotAnswer{}.retry_after_ms);
    return;
  }
  send(*worker);
}

double OneShotRun::retryShare() const {
  return environment_.fleet_view.configuration()->tuning.retry_share;
}

void OneShotRun::send(const workers::Worker& worker) {
  attempts_.beginDispatch();
  state_ = State::Dispatched;
  worker_ = worker;
  head_matches_ = false;
  body_.clear();
  ++flow_.in_flight_[worker_.entry.id];
  environment_.circuit.onDispatch(worker_);
  call_.set(environment_.workers.send(workerRequest(),
                                      std::make_shared<OneShotObserver>(weak_from_this(), run_)));
}

WorkerRequest OneShotRun::workerRequest() const {
  WorkerRequest request;
  request.address = worker_.entry.address;
  request.target = "/v1/one-shots";
  request.request_id = run_;
  request.caller_request_id = request_.caller_request_id;
  request.tenant = request_.tenant;
  request.idempotency_key = request_.idempotency_key;
  request.body = request_.body;
  request.memory = request_.memory;
  request.fresh_connection = true;
  request.response_timeout = request_.deadline;
  return request;
}

void OneShotRun::onHead(const std::string& attempt, const WorkerHead& head) {
  if (!isDispatched(attempt)) {
    return;
  }
  environment_.circuit.onConnected(worker_);
  if (head.draining) {
    environment_.fleet_view.observeDraining(worker_);
  }
  const bool matches_request = head.request_id == run_;
  head_matches_ = matches_request && head.status == StatusOk;
  if (matches_request && head.not_run && head.status != StatusOk) {
    endNotRun();
  } else if (!head_matches_) {
    // A worker that rejected this request does not run it, so the slot is released. If the response
    // is for another request, the worker may still be running this one.
    const admission::SlotPermitPtr used_slot = matches_request ? std::move(slot_) : nullptr;
    endUnknown();
  }
}

void OneShotRun::onBytes(const std::string& attempt, const std::string& bytes,
                         const std::function<void()>& resume) {
  if (isDispatched(attempt)) {
    appendToBody(bytes);
  }
  resume();
}

void OneShotRun::appendToBody(const std::string& bytes) {
  const std::size_t size = body_.size() + bytes.size();
  const bool has_memory = response_memory_.tryHold(size * AnswerCopies);
  environment_.counters.responses_without_memory += has_memory ? 0 : 1;
  if (size > MaximumAnswerBytes || !has_memory) {
    endUnknown();
    return;
  }
  body_ += bytes;
}

void OneShotRun::onComplete(const std::string& attempt) {
  if (!isDispatched(attempt)) {
    return;
  }
  if (head_matches_) {
    endRan();
  } else {
    endUnknown();
  }
}

void OneShotRun::onFailure(const std::string& attempt, WorkerFailure failure, bool refused) {
  if (!isDispatched(attempt)) {
    return;
  }
  if (refused) {
    environment_.circuit.onRefused(worker_);
    environment_.fleet_view.observeRefused(worker_);
  }
  if (failure != WorkerFailure::NotSent) {
    endUnknown();
    return;
  }
  endNotRun();
}

void OneShotRun::endNotRun() {
  attempts_.exclude(worker_.entry.id);
  endAttempt();
  retryOrReject();
}

void OneShotRun::retryOrReject() {
  state_ = State::Recording;
  const admission::SlotPermitPtr unused_slot = std::move(slot_);
  flow_.record(
      finishOf(ClaimState::NotRun),
      [weak = weak_from_this()](const wire::ClaimReply& reply) {
        const auto run = weak.lock();
        if (!run || run->state_ != State::Recording) {
          return;
        }
        if (!reply.recorded) {
          run->answer(unknown(ResultCode::OutcomeUnknown));
          return;
        }
        const ResultCode code = run->checkRetry();
        if (code == ResultCode::Ok) {
          run->claim();
          return;
        }
        run->answer(notRun(code, OneShotAnswer{}.retry_after_ms));
      },
      RecordRetries);
}

ResultCode OneShotRun::checkRetry() {
  const workers::WorkerSnapshotPtr snapshot = environment_.fleet_view.workers();
  const bool possible = !deadline_extended_ && guard_.checkSession() == ResultCode::Ok &&
                        flow_.chooseWorker(*snapshot, request_, attempts_.excluded()) != nullptr;
  if (!possible) {
    return ResultCode::NotRun;
  }
  return attempts_.mayRetry(retryShare()) ? ResultCode::Ok : ResultCode::RetryBudgetSpent;
}

void OneShotRun::reject(ResultCode code, std::uint32_t retry_after_ms) {
  state_ = State::Recording;
  // No worker runs the request, so the slot is released even if the core can't be reached.
  const admission::SlotPermitPtr unused_slot = std::move(slot_);
  flow_.record(
      finishOf(ClaimState::NotRun),
      [weak = weak_from_this(), code, retry_after_ms](const wire::ClaimReply& reply) {
        const auto run = weak.lock();
        if (run && run->state_ == State::Recording) {
          run->answer(reply.recorded ? notRun(code, retry_after_ms)
                                     : unknown(ResultCode::OutcomeUnknown));
        }
      },
      RecordRetries);
}

void OneShotRun::endRan() {
  endAttempt();
  // The worker has finished, so its slot is released before the end is recorded.
  const admission::SlotPermitPtr used_slot = std::move(slot_);
  state_ = State::Recording;
  ran_ = true;
  wire::ClaimFinish finish = finishOf(ClaimState::Ran);
  finish.http_status = StatusOk;
  finish.answer = body_;
  flow_.record(
      finish,
      [weak = weak_from_this()](const wire::ClaimReply& /*reply*/) {
        const auto run = weak.lock();
        if (run && run->state_ == State::Recording) {
          run->answer(OneShotAnswer{Outcome::Ran, false, run->body_, ResultCode::Ok, 0});
        }
      },
      RecordRetries);
}

void OneShotRun::endUnknown() {
  endAttempt();
  state_ = State::Recording;
  flow_.record(
      finishOf(ClaimState::Unknown),
      [weak = weak_from_this()](const wire::ClaimReply& /*reply*/) {
        const auto run = weak.lock();
        if (run && run->state_ == State::Recording) {
          run->answer(unknown(ResultCode::OutcomeUnknown));
        }
      },
      RecordRetries);
}

void OneShotRun::endAttempt() {
  const auto found = flow_.in_flight_.find(worker_.entry.id);
  if (found != flow_.in_flight_.end() && --found->second == 0) {
    flow_.in_flight_.erase(found);
  }
  call_.cancel();
}

void OneShotRun::onDeadline() {
  const auto self = shared_from_this();
  switch (state_) {
    case State::Claiming:
      poll_timer_->disable();
      answer(unknown(seen_in_flight_elsewhere_ ? ResultCode::OutcomeUnknown
                                               : ResultCode::ClaimsUnavailable));
      return;
    case State::AwaitingSlot:
      deadline_extended_ = true;
      deadline_.start(RecordGrace);
      reject(ResultCode::LimitsUnavailable, OneShotAnswer{}.retry_after_ms);
      return;
    case State::Dispatched:
      endUnknown();
      break;
    case State::Recording:
      break;
    case State::Answered:
      return;
  }
  if (state_ == State::Answered) {
    return;
  }
  // The caller is answered now; the flow continues to record the end.
  if (ran_) {
    answer(OneShotAnswer{Outcome::Ran, false, body_, ResultCode::Ok, 0});
  } else {
    answer(unknown(ResultCode::OutcomeUnknown));
  }
}

void OneShotRun::answer(const OneShotAnswer& answer) {
  const auto self = shared_from_this();
  state_ = State::Answered;
  Counters& counters = environment_.counters;
  counters.one_shots_ran += answer.outcome == Outcome::Ran && !answer.replayed ? 1 : 0;
  counters.one_shots_replayed += answer.replayed ? 1 : 0;
  counters.one_shots_not_run += answer.outcome == Outcome::NotRun ? 1 : 0;
  counters.one_shots_unknown += answer.outcome == Outcome::Unknown ? 1 : 0;
  if (answer.code != ResultCode::Ok) {
    ++counters.refusals[answer.code];
  }
  flow_.runs_.erase(self);
  slot_.reset();
  deadline_.stop();
  poll_timer_->disable();
  callback_(answer);
}

bool OneShotRun::isDispatched(const std::string& attempt) const {
  return state_ == State::Dispatched && attempt == run_;
}

wire::ClaimFinish OneShotRun::finishOf(ClaimState state) const {
  wire::ClaimFinish finish;
  finish.tenant = request_.tenant;
  finish.idempotency_key = request_.idempotency_key;
  finish.run = run_;
  finish.state = state;
  return finish;
}

}  // namespace switchsaddle::front
