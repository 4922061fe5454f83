#include "forward/forward_run.h"

#include <algorithm>
#include <utility>

#include "attempt/attempt_observer.h"
#include "worker_calls/refusal.h"

namespace switchsaddle::front {

using base::ResultCode;
using configuration::ForwardKind;
using worker_health::DispatchEnd;

namespace {

constexpr std::uint16_t FirstStatusOfServerFailure = 500;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusRequestTimeout = 408;
constexpr std::uint16_t StatusMisdirected = 421;
constexpr std::uint16_t StatusTooManyRequests = 429;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::size_t MaximumCollectedBytes = 16U << 20U;
/** Maximum dispatches of one request, including those that no worker ran. */
constexpr std::uint32_t MaximumDispatches = 4;
/** With less time left than this, a retry would not get a response before the deadline. */
constexpr base::Duration MinimumRetryTime = std::chrono::milliseconds(30);
/** Maximum idle time of a reused connection. It is short for a request that must not run twice: the
 * worker may have closed a connection that has been idle for longer. */
constexpr base::Duration ReuseForNonIdempotent = std::chrono::milliseconds(2'000);
constexpr base::Duration ReuseForIdempotent = std::chrono::seconds(30);

using RunObserver = AttemptObserver<http::Response, ForwardRun, std::uint64_t>;

/** Whether callers take the status as proof that the request has not run. */
bool promisesNotRun(std::uint16_t status) {
  return status == StatusRequestTimeout || status == StatusMisdirected ||
         status == StatusTooManyRequests || status == StatusUnavailable;
}

/** Chooses one of the route's pools at random by the weights of its targets. */
const configuration::ForwardPool& choosePool(const ForwardRequest& request,
                                             base::RandomSource& random) {
  const std::vector<configuration::ForwardTarget>& targets = request.route->targets;
  std::uint64_t total_weight = 0;
  for (const configuration::ForwardTarget& target : targets) {
    total_weight += target.weight;
  }
  std::uint64_t remaining = targets.size() > 1 ? random.below(total_weight) : 0;
  const configuration::ForwardTarget* chosen = &targets.front();
  for (const configuration::ForwardTarget& target : targets) {
    chosen = &target;
    if (remaining < target.weight) {
      break;
    }
    remaining -= target.weight;
  }
  return *request.view->forwarding.findPool(chosen->pool);
}

}  // namespace

ForwardRun::ForwardRun(ForwardFlow& flow, ForwardRequest request, http::ResponseWriterPtr writer)
    : flow_(flow),
      environment_(flow.environment_),
      request_(std::move(request)),
      caller_(environment_.dispatcher, std::move(writer)),
      pool_(choosePool(request_, environment_.random)),
      attempts_(environment_.retries, environment_.counters, pool_.name),
      deadline_(environment_.dispatcher, [this] { onDeadline(); }),
      response_memory_(environment_.response_memory) {}

void ForwardRun::start() {
  started_at_ = environment_.dispatcher.now();
  attempts_.countFirst();
  deadline_.start(timeLimit());
  caller_.onDisconnected([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->cancel();
    }
  });
  acquireQuota();
}

bool ForwardRun::needsOwnConnection() const {
  return request_.route->kind == ForwardKind::AtMostOnce;
}

base::Duration ForwardRun::timeLimit() const {
  const base::Duration limit = std::chrono::milliseconds(request_.route->time_limit_ms);
  return request_.deadline ? std::min(limit, *request_.deadline) : limit;
}

void ForwardRun::acquireQuota() {
  if (request_.tenant == nullptr) {
    place();
    return;
  }
  const double units = request_.quotaUnits();
  environment_.quotas.acquire(
      *request_.tenant, request_.route->priority, units,
      [weak = weak_from_this(), units](const QuotaMeter::Decision& retry_after) {
        const auto run = weak.lock();
        return run ? run->onQuota(retry_after, units) : AdmittedUnits::Refund;
      });
}

AdmittedUnits ForwardRun::onQuota(const QuotaMeter::Decision& retry_after, double units) {
  if (ended_) {
    // The caller has disconnected or the deadline has passed in the meantime.
    return AdmittedUnits::Refund;
  }
  if (retry_after) {
    reject(ResultCode::QuotaSpent, *retry_after);
    return AdmittedUnits::Keep;
  }
  acquired_quota_units_ = units;
  place();
  return AdmittedUnits::Keep;
}

void ForwardRun::place() {
  std::optional<ForwardPlacement> placement = environment_.placer.choose(
      pool_, request_.prompt, attempts_.excludedOf(*environment_.fleet_view.workers()));
  if (!placement) {
    fail(ResultCode::NoWorkerAvailable);
    return;
  }
  send(std::move(*placement));
}

void ForwardRun::send(ForwardPlacement placement) {
  attempts_.beginDispatch();
  resetDispatch(std::move(placement));
  logIfResent();
  environment_.circuit.onDispatch(placement_->worker);
  reportDispatchToHealth();
  call_.set(environment_.port.forward(dispatchMessage(),
                                      std::make_shared<RunObserver>(weak_from_this(), dispatch_)));
}

void ForwardRun::logIfResent() const {
  if (ended_dispatch_) {
    const wire::WorkerEntry& worker = placement_->worker.entry;
    logResend(request_.request_id, *ended_dispatch_, worker.id, worker.address);
  }
}

void ForwardRun::resetDispatch(ForwardPlacement placement) {
  ++dispatch_;
  ++counted_dispatches_;
  dispatched_at_ = environment_.dispatcher.now();
  status_ = 0;
  head_.reset();
  body_ = {};
  splitter_.reset();
  resume_ = nullptr;
  events_of_dispatch_ = 0;
  completion_ = {};
  sample_ = {};
  placement_ = std::move(placement);
}

void ForwardRun::reportDispatchToHealth() {
  const wire::WorkerEntry& worker = placement_->worker.entry;
  const base::Duration prefill_estimate =
      placement_->learned ? placement_->learned->prefill_estimate : base::Duration::zero();
  health_number_ = environment_.health.onDispatch({worker_health::workerKey(worker),
                                                   worker_health::poolKey(pool_.name),
                                                   request_.prompt.kind, prefill_estimate});
}

ForwardDispatch ForwardRun::dispatchMessage() const {
  const wire::WorkerEntry& worker = placement_->worker.entry;
  ForwardDispatch dispatch;
  dispatch.worker = worker.address;
  dispatch.message = workerMessage(request_, environment_.headers, worker.id, deadline_.remaining(),
                                   stream_started_ ? last_event_id_ : std::nullopt);
  dispatch.request_id_header = environment_.headers.request_id;
  dispatch.request_id = request_.request_id;
  dispatch.not_run_header = environment_.headers.not_run;
  dispatch.own_connection = needsOwnConnection();
  const bool idempotent = configuration::isIdempotent(request_.route->kind);
  dispatch.maximum_idle_time = idempotent ? ReuseForIdempotent : ReuseForNonIdempotent;
  return dispatch;
}

bool ForwardRun::isRelayed() const {
  return configuration::isStream(request_.route->kind) && head_->status == StatusOk;
}

void ForwardRun::onHead(std::uint64_t dispatch, const http::Response& head) {
  if (!isCurrent(dispatch)) {
    return;
  }
  status_ = head.status;
  if (isRefusal(head, environment_.headers.not_run)) {
    if (head.status == StatusMisdirected) {
      // Another instance uses the address, so the intended one has ended.
      environment_.circuit.onRefused(placement_->worker);
    }
    onNotRun(ResultCode::NotRun);
    return;
  }
  environment_.circuit.onConnected(placement_->worker);
  environment_.health.onHead(health_number_);
  completion_.weights_version = head.header(environment_.headers.weights_version);
  head_ = head;
}

void ForwardRun::onBytes(std::uint64_t dispatch, const std::string& bytes,
                         std::function<void()> resume) {
  if (!isCurrent(dispatch) || !head_) {
    return;
  }
  resume_ = std::move(resume);
  if (!isRelayed()) {
    collect(bytes);
    return;
  }
  std::vector<streams::RawEvent> events;
  const bool valid = splitter_.feed(bytes, events);
  relay(events);
  if (!isCurrent(dispatch)) {
    return;
  }
  if (!valid || !takeResponseMemory()) {
    onLost(ResultCode::StreamBroken);
    return;
  }
  resumeReading();
}

bool ForwardRun::takeResponseMemory() {
  const std::size_t error_bytes = worker_error_ ? worker_error_->body.size() : 0;
  const std::size_t bytes =
      body_.size() + splitter_.pendingBytes() + outstanding_bytes_ + error_bytes;
  if (response_memory_.tryHold(bytes)) {
    return true;
  }
  ++environment_.counters.responses_without_memory;
  return false;
}

void ForwardRun::collect(const std::string& bytes) {
  body_ += bytes;
  if (body_.size() > MaximumCollectedBytes || !takeResponseMemory()) {
    onLost(ResultCode::WorkerFailed);
    return;
  }
  std::exchange(resume_, nullptr)();
}

void ForwardRun::onComplete(std::uint64_t dispatch) {
  if (!isCurrent(dispatch) || !head_) {
    return;
  }
  if (!isRelayed()) {
    answerComplete();
  } else if (splitter_.midEvent()) {
    onLost(ResultCode::StreamBroken);
  } else {
    finishStream();
  }
}

void ForwardRun::answerComplete() {
  if (promisesNotRun(head_->status)) {
    // The worker has not confirmed the promise, so the caller must not get it.
    onLost(ResultCode::WorkerFailed);
    return;
  }
  http::Response response = callerMessage(*head_);
  response.body = std::move(body_);
  const bool failed = response.status >= FirstStatusOfServerFailure;
  if (!failed && !stream_started_) {
    endDispatch(DispatchEnd::Answered);
    answer(std::move(response), "ran", ResultCode::Ok);
    return;
  }
  worker_error_ = std::move(response);
  onLost(ResultCode::WorkerFailed);
}

void ForwardRun::onFailure(std::uint64_t dispatch, WorkerFailure failure, bool /*refused*/) {
  if (!isCurrent(dispatch)) {
    return;
  }
  if (failure == WorkerFailure::NotSent) {
    environment_.circuit.onRefused(placement_->worker);
    environment_.fleet_view.observeRefused(placement_->worker);
    --counted_dispatches_;
    onNotRun(ResultCode::NoWorkerAvailable);
    return;
  }
  onLost(ResultCode::WorkerFailed);
}

void ForwardRun::endDispatch(DispatchEnd end) {
  call_.cancel();
  if (!placement_) {
    return;
  }
  reportEndToHealth(end);
  const std::uint32_t cached = placement_->learned ? placement_->learned->cached_tokens : 0;
  completion_.failed = end == DispatchEnd::Failed || end == DispatchEnd::Unreachable;
  completion_.cached_tokens = cached;
  completion_.uncached_tokens = request_.prompt.prompt_tokens - cached;
  completion_.output_tokens = events_of_dispatch_ * pool_.tokens_per_event;
  completion_.total = environment_.dispatcher.now() - dispatched_at_;
  environment_.placer.complete(*placement_, completion_, connectionAfter(end));
  excludeCurrentWorker(end);
  placement_.reset();
}

ConnectionEnd ForwardRun::connectionAfter(DispatchEnd end) const {
  const bool is_kept = end == DispatchEnd::Answered && !needsOwnConnection();
  return is_kept ? ConnectionEnd::KeptIdle : ConnectionEnd::Closed;
}

void ForwardRun::excludeCurrentWorker(DispatchEnd end) {
  const wire::WorkerEntry& worker = placement_->worker.entry;
  attempts_.exclude(worker.id);
  const bool was_sent = end != DispatchEnd::Unreachable;
  if (was_sent && !configuration::isIdempotent(request_.route->kind)) {
    // A late copy of one instance's refusal would pass for the refusal of its successor.
    attempts_.excludeAddress(worker.address);
  }
}

void ForwardRun::reportEndToHealth(DispatchEnd end) {
  sample_.end = end;
  sample_.events = events_of_dispatch_;
  if (events_of_dispatch_ > 0) {
    sample_.transfer = last_event_at_ - first_event_at_;
  }
  environment_.health.onEnd(health_number_, sample_);
}

void ForwardRun::recordEnd(ResultCode code) {
  const wire::WorkerEntry& worker = placement_->worker.entry;
  ended_dispatch_ = EndedDispatch{worker.id, worker.address, code, status_};
}

void ForwardRun::onNotRun(ResultCode code) {
  recordEnd(code);
  const bool reached_worker = code == ResultCode::NotRun;
  endDispatch(reached_worker ? DispatchEnd::Refused : DispatchEnd::Unreachable);
  ++not_run_;
  const bool may_retry = hasTimeForRetry() && not_run_ < 2 * MaximumDispatches;
  // The first dispatch that reaches a worker does not count as a retry.
  if (!may_retry || (counted_dispatches_ > 0 && !acquireRetry())) {
    fail(code);
    return;
  }
  place();
}

void ForwardRun::onLost(ResultCode code) {
  recordEnd(code);
  ++may_have_run_;
  endDispatch(DispatchEnd::Failed);
  if (!mayRetryAfterLoss()) {
    fail(code);
    return;
  }
  place();
}

bool ForwardRun::mayRetryAfterLoss() {
  const bool idempotent = configuration::isIdempotent(request_.route->kind);
  const bool allowed = idempotent && may_have_run_ < request_.route->attempts;
  const bool can_continue = !stream_started_ || canResumeElsewhere();
  return allowed && can_continue && hasTimeForRetry() && acquireRetry();
}

bool ForwardRun::hasTimeForRetry() const {
  return counted_dispatches_ < MaximumDispatches && deadline_.remaining() >= MinimumRetryTime;
}

bool ForwardRun::canResumeElsewhere() const {
  return request_.route->kind == ForwardKind::ResumableStream && last_event_id_;
}

bool ForwardRun::acquireRetry() {
  const RetryAllowance& allowance = environment_.retry_allowance;
  const double extra = allowance.fleet_extra / static_cast<double>(flow_.fronts_);
  return attempts_.acquireRetry(allowance.share, extra);
}

void ForwardRun::migrateFromMaintenance(const configuration::View& view) {
  const bool in_maintenance =
      placement_ && view.workers_in_maintenance.contains(placement_->worker.entry.id);
  const bool can_continue = stream_started_ && canResumeElsewhere();
  // Continuing at another worker counts as a retry, and needs an available worker.
  if (ended_ || !in_maintenance || !can_continue || !hasTimeForRetry() || !acquireRetry()) {
    return;
  }
  std::vector<std::string> excluded = attempts_.excluded();
  excluded.push_back(placement_->worker.entry.id);
  std::optional<ForwardPlacement> next =
      environment_.placer.choose(pool_, request_.prompt, excluded);
  if (!next) {
    return;
  }
  recordEnd(ResultCode::Ok);
  endDispatch(DispatchEnd::Abandoned);
  send(std::move(*next));
}

void ForwardRun::onDeadline() {
  abandonDispatch(ResultCode::TimeLimitPassed);
  fail(ResultCode::TimeLimitPassed);
}

void ForwardRun::answerEarly() {
  abandonDispatch(ResultCode::Stopping);
  fail(ResultCode::Stopping);
}

void ForwardRun::abandonDispatch(ResultCode code) {
  if (!placement_) {
    call_.cancel();
    return;
  }
  recordEnd(code);
  endDispatch(DispatchEnd::Abandoned);
  ++may_have_run_;
}

}  // namespace switchsaddle::front
