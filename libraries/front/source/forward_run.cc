#include "forward_run.h"

#include <algorithm>
#include <utility>

namespace switchsaddle::front {

using base::ResultCode;
using configuration::ForwardKind;
using worker_health::DispatchEnd;

namespace {

constexpr std::uint16_t FirstStatusOfServerFailure = 500;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusMisdirected = 421;
constexpr std::size_t MaximumCollectedBytes = 16U << 20U;
/** Dispatches of one request, those included that no worker ran. */
constexpr std::uint32_t MaximumDispatches = 4;
/** With less time left than this another worker would not answer in time. */
constexpr base::Duration LeastTimeForAnother = std::chrono::milliseconds(30);
/** A request that may run only once goes by a connection that its worker has used just now: one
 * that lay idle may have been forgotten there. */
constexpr base::Duration ReuseForOnce = std::chrono::milliseconds(2'000);
constexpr base::Duration ReuseForRepeatable = std::chrono::seconds(30);

/** Passes what a dispatch hears on to the run while there is one. */
class RunObserver : public ForwardObserver {
 public:
  RunObserver(std::weak_ptr<ForwardRun> run, std::uint64_t dispatch)
      : run_(std::move(run)), dispatch_(dispatch) {}

  void onHead(const http::Response& head) override {
    if (const auto run = run_.lock()) {
      run->onHead(dispatch_, head);
    }
  }
  void onBytes(const std::string& bytes, std::function<void()> resume) override {
    if (const auto run = run_.lock()) {
      run->onBytes(dispatch_, bytes, std::move(resume));
    }
  }
  void onComplete() override {
    if (const auto run = run_.lock()) {
      run->onComplete(dispatch_);
    }
  }
  void onFailure(WorkerFailure failure, bool refused) override {
    if (const auto run = run_.lock()) {
      run->onFailure(dispatch_, failure, refused);
    }
  }

 private:
  std::weak_ptr<ForwardRun> run_;
  std::uint64_t dispatch_;
};

}  // namespace

ForwardRun::ForwardRun(ForwardFlow& flow, ForwardRequest request, http::ResponseWriterPtr writer)
    : flow_(flow),
      environment_(flow.environment_),
      request_(std::move(request)),
      writer_(std::move(writer)) {}

void ForwardRun::start() {
  started_at_ = environment_.dispatcher.now();
  base::Duration limit = std::chrono::milliseconds(request_.route->time_limit_ms);
  if (request_.deadline) {
    limit = std::min(limit, *request_.deadline);
  }
  limit_at_ = started_at_ + limit;
  pool_ = &choosePool();
  environment_.retries.countFirstAttempt(pool_->name);
  limit_timer_ = environment_.dispatcher.createTimer([this] { onTimeLimit(); });
  limit_timer_->enable(limit);
  writer_->onClientDisconnected([&dispatcher = environment_.dispatcher, weak = weak_from_this()] {
    dispatcher.post([weak] {
      if (const auto run = weak.lock()) {
        run->cancel();
      }
    });
  });
  takeQuota();
}

const configuration::ForwardPool& ForwardRun::choosePool() {
  const std::vector<configuration::ForwardTarget>& targets = request_.route->targets;
  std::uint64_t sum = 0;
  for (const configuration::ForwardTarget& target : targets) {
    sum += target.weight;
  }
  std::uint64_t point = targets.size() > 1 ? environment_.random.below(sum) : 0;
  const configuration::ForwardTarget* chosen = &targets.front();
  for (const configuration::ForwardTarget& target : targets) {
    chosen = &target;
    if (point < target.weight) {
      break;
    }
    point -= target.weight;
  }
  return *request_.view->forwarding.findPool(chosen->pool);
}

void ForwardRun::takeQuota() {
  if (request_.tenant == nullptr) {
    place();
    return;
  }
  const double units = request_.quotaUnits();
  environment_.quotas.acquire(*request_.tenant, request_.route->priority, units,
                              [weak = weak_from_this(), units](const QuotaMeter::Decision& wait) {
                                const auto run = weak.lock();
                                return run && run->onQuota(wait, units);
                              });
}

bool ForwardRun::onQuota(const QuotaMeter::Decision& wait, double units) {
  if (over_) {
    // The caller has left meanwhile, or the time is up.
    return false;
  }
  if (wait) {
    refuse(ResultCode::QuotaSpent, *wait);
    return true;
  }
  quota_taken_ = units;
  place();
  return true;
}

void ForwardRun::place() {
  std::optional<ForwardPlacement> placement =
      environment_.placer.choose(*pool_, request_.prompt, tried_);
  if (!placement) {
    giveUp(ResultCode::NoWorkerAvailable);
    return;
  }
  send(std::move(*placement));
}

void ForwardRun::send(ForwardPlacement placement) {
  ++dispatch_;
  ++dispatches_;
  ++environment_.counters.dispatches;
  dispatched_at_ = environment_.dispatcher.now();
  head_.reset();
  body_.clear();
  splitter_.reset();
  resume_ = nullptr;
  events_of_dispatch_ = 0;
  completion_ = {};
  sample_ = {};
  placement_ = std::move(placement);
  const wire::WorkerEntry& worker = placement_->worker.entry;
  environment_.circuit.onDispatch(placement_->worker);
  health_number_ = environment_.health.onDispatch(
      {worker_health::workerKey(worker), worker_health::poolKey(pool_->name), request_.prompt.kind,
       placement_->learned ? placement_->learned->prefill_estimate : base::Duration::zero()});
  ForwardDispatch dispatch;
  dispatch.worker = worker.address;
  dispatch.message = workerMessage(request_, environment_.headers, worker.id, timeLeft(),
                                   stream_started_ ? last_event_id_ : std::nullopt);
  dispatch.request_id_header = environment_.headers.request_id;
  dispatch.request_id = request_.request_id;
  dispatch.reuse_within =
      configuration::mayRepeat(request_.route->kind) ? ReuseForRepeatable : ReuseForOnce;
  call_ = environment_.port.forward(std::move(dispatch),
                                    std::make_shared<RunObserver>(weak_from_this(), dispatch_));
}

base::Duration ForwardRun::timeLeft() const {
  return std::max(base::Duration::zero(), limit_at_ - environment_.dispatcher.now());
}

bool ForwardRun::isNotRun(const http::Response& head) const {
  return head.status == StatusMisdirected || !head.header(environment_.headers.not_run).empty();
}

void ForwardRun::onHead(std::uint64_t dispatch, const http::Response& head) {
  if (!isCurrent(dispatch)) {
    return;
  }
  if (isNotRun(head)) {
    if (head.status == StatusMisdirected) {
      // Another worker has the address: this one has ended.
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
  const bool relayed = configuration::isStream(request_.route->kind) && head_->status == StatusOk;
  if (!relayed) {
    body_ += bytes;
    if (body_.size() > MaximumCollectedBytes) {
      onLost(ResultCode::WorkerFailed);
      return;
    }
    std::exchange(resume_, nullptr)();
    return;
  }
  std::vector<streams::RawEvent> events;
  const bool sound = splitter_.feed(bytes, events);
  relay(events);
  if (!isCurrent(dispatch)) {
    return;
  }
  if (!sound) {
    onLost(ResultCode::StreamBroken);
    return;
  }
  readOn();
}
void ForwardRun::onComplete(std::uint64_t dispatch) {
  if (!isCurrent(dispatch) || !head_) {
    return;
  }
  const bool relayed = configuration::isStream(request_.route->kind) && head_->status == StatusOk;
  if (!relayed) {
    answerWhole();
  } else if (splitter_.midEvent()) {
    onLost(ResultCode::StreamBroken);
  } else {
    finishStream();
  }
}
void ForwardRun::answerWhole() {
  http::Response response = callerMessage(*head_);
  response.body = std::move(body_);
  const bool failed = response.status >= FirstStatusOfServerFailure;
  if (!failed && !stream_started_) {
    endAttempt(DispatchEnd::Answered);
    answer(std::move(response), "ran", ResultCode::Ok);
    return;
  }
  worker_failure_ = std::move(response);
  onLost(ResultCode::WorkerFailed);
}

void ForwardRun::onFailure(std::uint64_t dispatch, WorkerFailure failure, bool /*refused*/) {
  if (!isCurrent(dispatch)) {
    return;
  }
  if (failure == WorkerFailure::NotSent) {
    environment_.circuit.onRefused(placement_->worker);
    environment_.fleet_view.observeRefused(placement_->worker);
    --dispatches_;
    onNotRun(ResultCode::NoWorkerAvailable);
    return;
  }
  onLost(ResultCode::WorkerFailed);
}

void ForwardRun::endAttempt(DispatchEnd end) {
  if (call_) {
    call_->cancel();
    call_.reset();
  }
  if (!placement_) {
    return;
  }
  const std::uint32_t cached = placement_->learned ? placement_->learned->cached_tokens : 0;
  sample_.end = end;
  sample_.events = events_of_dispatch_;
  if (events_of_dispatch_ > 0) {
    sample_.transfer = last_event_at_ - first_event_at_;
  }
  environment_.health.onEnd(health_number_, sample_);
  completion_.failed = end == DispatchEnd::Failed || end == DispatchEnd::Unreachable;
  completion_.cached_tokens = cached;
  completion_.uncached_tokens = request_.prompt.prompt_tokens - cached;
  completion_.output_tokens = events_of_dispatch_ * pool_->tokens_per_event;
  completion_.total = environment_.dispatcher.now() - dispatched_at_;
  environment_.placer.complete(*placement_, completion_);
  tried_.push_back(placement_->worker.entry.id);
  placement_.reset();
}

void ForwardRun::onNotRun(ResultCode code) {
  const bool reached_worker = code == ResultCode::NotRun;
  endAttempt(reached_worker ? DispatchEnd::Refused : DispatchEnd::Unreachable);
  ++sent_;
  const bool another = dispatches_ < MaximumDispatches && sent_ < 2 * MaximumDispatches &&
                       timeLeft() >= LeastTimeForAnother;
  if (!another || (dispatches_ > 0 && !spendRetry())) {
    giveUp(code);
    return;
  }
  place();
}

void ForwardRun::onLost(ResultCode code) {
  ++may_have_run_;
  endAttempt(DispatchEnd::Failed);
  if (!mayTryAnother()) {
    giveUp(code);
    return;
  }
  place();
}

bool ForwardRun::mayTryAnother() {
  const ForwardKind kind = request_.route->kind;
  const bool allowed = configuration::mayRepeat(kind) && may_have_run_ < request_.route->attempts;
  const bool can_go_on =
      !stream_started_ || (kind == ForwardKind::ResumableStream && last_event_id_);
  return allowed && can_go_on && dispatches_ < MaximumDispatches &&
         timeLeft() >= LeastTimeForAnother && spendRetry();
}

bool ForwardRun::spendRetry() {
  const RetryAllowance& allowance = environment_.retry_allowance;
  const double extra = allowance.fleet_extra / static_cast<double>(flow_.fronts_);
  if (!environment_.retries.tryAcquire(pool_->name, allowance.share, extra)) {
    return false;
  }
  ++environment_.counters.retries;
  return true;
}

void ForwardRun::leaveEmptied(const configuration::View& view) {
  const bool can_go_on =
      stream_started_ && last_event_id_ && request_.route->kind == ForwardKind::ResumableStream;
  const bool is_emptied =
      placement_ && view.workers_in_maintenance.contains(placement_->worker.entry.id);
  const bool in_time = dispatches_ < MaximumDispatches && timeLeft() >= LeastTimeForAnother;
  // It leaves only as a repeat that the budget bears, and only for a worker that is there.
  if (over_ || !is_emptied || !can_go_on || !in_time || !spendRetry()) {
    return;
  }
  std::vector<std::string> left = tried_;
  left.push_back(placement_->worker.entry.id);
  std::optional<ForwardPlacement> next = environment_.placer.choose(*pool_, request_.prompt, left);
  if (!next) {
    return;
  }
  endAttempt(DispatchEnd::Abandoned);
  send(std::move(*next));
}

void ForwardRun::onTimeLimit() {
  const bool under_way = placement_.has_value();
  endAttempt(DispatchEnd::Abandoned);
  if (under_way) {
    ++may_have_run_;
  }
  giveUp(ResultCode::TimeLimitPassed);
}

}  // namespace switchsaddle::front
