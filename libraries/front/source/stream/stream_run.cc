#include "stream/stream_run.h"

#include <utility>

#include "attempt/attempt_observer.h"

namespace switchsaddle::front {

using base::ResultCode;

namespace {

constexpr const char* CompletionsService = "completions";
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint32_t DefaultRetryAfterMs = 1'000;
/** Bytes of events that the sink may have pending before reading from the worker pauses. */
constexpr std::size_t MaximumOutstandingBytes = 16U << 10U;
/** Timeout for a worker's response header. */
constexpr base::Duration ResponseTimeout = std::chrono::seconds(15);

using StreamObserver = AttemptObserver<WorkerHead, StreamRun, std::string>;

const configuration::Route* findRoute(const configuration::View& view, const std::string& model) {
  for (const auto& [name, route] : view.routes) {
    if (route.service != CompletionsService) {
      continue;
    }
    for (const std::string& served_model : route.models) {
      if (served_model == model) {
        return &route;
      }
    }
  }
  return nullptr;
}

}  // namespace

StreamRun::StreamRun(StreamFlow& flow, StreamRequest request, std::shared_ptr<StreamSink> sink)
    : flow_(flow),
      environment_(flow.environment_),
      request_(std::move(request)),
      sink_(std::move(sink)),
      relay_(streams::RelayMachine::DefaultMaximumOutstanding, environment_.check_sequence),
      attempts_(environment_.retries, environment_.counters, CompletionsService),
      guard_(environment_.session, environment_.fleet_view),
      deadline_(environment_.dispatcher, [this] { onDeadline(); }),
      response_memory_(environment_.response_memory) {}

void StreamRun::start() {
  deadline_.start(std::chrono::milliseconds(request_.shape.stream_deadline_ms));
  const bool queued = environment_.stages.admit.submit([weak = weak_from_this()](auto ticket) {
    if (const auto run = weak.lock(); run && !run->ended_) {
      run->admit(std::move(ticket));
    }
  });
  if (!queued) {
    reject(ResultCode::QueueFull, DefaultRetryAfterMs);
  }
}

void StreamRun::onDeadline() {
  const auto self = shared_from_this();
  if (relay_.mayRetryElsewhere()) {
    reject(ResultCode::StreamBroken, DefaultRetryAfterMs);
  } else {
    onAttemptFailed(ResultCode::StreamBroken);
  }
}

void StreamRun::admit(StageTicket ticket) {
  ticket_ = std::move(ticket);
  environment_.slots.acquire(request_.branch,
                             [weak = weak_from_this()](admission::SlotOutcome outcome) {
                               if (const auto run = weak.lock(); run && !run->ended_) {
                                 run->onSlot(std::move(outcome));
                               }
                             });
}

void StreamRun::onSlot(admission::SlotOutcome outcome) {
  if (!outcome.permit) {
    reject(outcome.code, outcome.retry_after_ms);
    return;
  }
  slot_ = std::move(outcome.permit);
  const StageTicket admitted = std::exchange(ticket_, {});
  const bool queued = environment_.stages.relay.submit([weak = weak_from_this()](auto ticket) {
    if (const auto run = weak.lock(); run && !run->ended_) {
      run->ticket_ = std::move(ticket);
      run->place();
    }
  });
  if (!queued) {
    reject(ResultCode::QueueFull, DefaultRetryAfterMs);
  }
}

void StreamRun::place() {
  std::optional<routing::Placement> placement = choose();
  if (!placement) {
    return;
  }
  placement_ = std::move(placement);
  completion_ = routing::Completion{};
  completion_.ticket = placement_->ticket;
  placement_sent_ = false;
  if (mayDispatch(*placement_)) {
    send(*placement_);
  }
}

std::optional<routing::Placement> StreamRun::choose() {
  const std::shared_ptr<const configuration::View> view = environment_.fleet_view.configuration();
  const configuration::Route* route = findRoute(*view, request_.prompt.model);
  if (route == nullptr) {
    reject(ResultCode::UnknownModel, 0);
    return std::nullopt;
  }
  std::vector<std::string> excluded = environment_.circuit.openWorkers();
  excluded.insert(excluded.end(), attempts_.excluded().begin(), attempts_.excluded().end());
  std::optional<routing::Placement> placement =
      environment_.router.choose(request_.prompt, *route, excluded);
  if (!placement) {
    reject(last_failure_, DefaultRetryAfterMs);
  }
  return placement;
}

bool StreamRun::mayDispatch(const routing::Placement& placement) {
  if (const ResultCode code = guard_.checkKey(request_.key_hash); code != ResultCode::Ok) {
    reject(code, 0);
    return false;
  }
  PlacementVerdict verdict = evaluateAttempt(placement);
  if (verdict.code == ResultCode::Ok) {
    verdict.code = guard_.checkSession();
  }
  if (verdict.code != ResultCode::Ok) {
    reject(verdict.code, verdict.retry_after_ms);
    return false;
  }
  return true;
}

PlacementVerdict StreamRun::evaluateAttempt(const routing::Placement& placement) {
  if (attempts_.dispatched() == 0) {
    const PlacementVerdict verdict = evaluatePlacement(placement, request_.shape);
    return verdict.code == ResultCode::Ok ? PlacementVerdict{ResultCode::Ok, DefaultRetryAfterMs}
                                          : verdict;
  }
  const double share = environment_.fleet_view.configuration()->tuning.retry_share;
  const bool allowed = attempts_.acquireRetry(share);
  return {allowed ? ResultCode::Ok : ResultCode::RetryBudgetSpent, DefaultRetryAfterMs};
}

void StreamRun::send(const routing::Placement& placement) {
  attempts_.beginDispatch();
  placement_sent_ = true;
  environment_.counters.streams_started += attempts_.dispatched() == 1 ? 1 : 0;
  dispatched_at_ = environment_.dispatcher.now();
  attempt_ =
      std::to_string(environment_.random.next()) + '-' + std::to_string(attempts_.dispatched());
  sent_request_id_ = attempt_;
  resume_ = nullptr;
  environment_.circuit.onDispatch(placement.prefill);
  call_.set(environment_.workers.send(
      workerRequest(placement), std::make_shared<StreamObserver>(weak_from_this(), attempt_)));
}

WorkerRequest StreamRun::workerRequest(const routing::Placement& placement) const {
  WorkerRequest request;
  request.address = placement.prefill.entry.address;
  request.target = "/v1/chat/completions";
  request.request_id = attempt_;
  request.caller_request_id = request_.caller_request_id;
  request.tenant = request_.tenant;
  request.body = request_.body;
  request.memory = request_.memory;
  request.response_timeout = ResponseTimeout;
  if (placement.decode) {
    request.decode = placement.decode->entry.address;
  }
  return request;
}

void StreamRun::onHead(const std::string& attempt, const WorkerHead& head) {
  if (!isCurrent(attempt)) {
    return;
  }
  sent_ = true;
  const workers::Worker& worker = placement_->prefill;
  environment_.circuit.onConnected(worker);
  if (head.draining) {
    environment_.fleet_view.observeDraining(worker);
  }
  recordHead(head);
  if (head.status != StatusOk || head.request_id != attempt) {
    onAttemptFailed(ResultCode::WorkerFailed);
    return;
  }
  relay_.onHead(head.run);
}

void StreamRun::recordHead(const WorkerHead& head) {
  completion_.weights_version = head.weights_version;
  completion_.cached_tokens = head.cached_tokens;
  if (request_.prompt.prompt_tokens > head.cached_tokens) {
    completion_.uncached_tokens = request_.prompt.prompt_tokens - head.cached_tokens;
  }
  if (head.load) {
    completion_.has_load = true;
    completion_.running = head.load->running;
    completion_.queued = head.load->queued;
    completion_.slots = head.load->slots;
  }
}

void StreamRun::onBytes(const std::string& attempt, const std::string& bytes,
                        std::function<void()> resume) {
  if (!isCurrent(attempt)) {
    return;
  }
  const bool first = relay_.chunks() == 0;
  const streams::RelayStep step = relay_.onBytes(bytes);
  if (first && relay_.chunks() > 0) {
    onFirstChunk();
  }
  sendEvents(step.events);
  if (ended_) {
    return;
  }
  resume_ = std::move(resume);
  if (step.code != ResultCode::Ok) {
    onAttemptFailed(step.code);
    return;
  }
  if (relay_.ended()) {
    finish(ResultCode::Ok);
    return;
  }
  if (!takeResponseMemory()) {
    onAttemptFailed(relay_.mayRetryElsewhere() ? ResultCode::WorkerFailed
                                               : ResultCode::StreamBroken);
    return;
  }
  resumeReading();
}

bool StreamRun::takeResponseMemory() {
  if (response_memory_.tryHold(relay_.pendingBytes() + outstanding_bytes_ + sink_->keptBytes())) {
    return true;
  }
  ++environment_.counters.responses_without_memory;
  return false;
}

void StreamRun::onFirstChunk() {
  completion_.time_to_first_token = environment_.dispatcher.now() - dispatched_at_;
  environment_.counters.first_token.observe(completion_.time_to_first_token);
  sink_->setRun(relay_.run(), completion_.cached_tokens);
}

void StreamRun::resumeReading() {
  if (resume_ && relay_.mayRead() && outstanding_bytes_ < MaximumOutstandingBytes) {
    std::exchange(resume_, nullptr)();
  }
}

void StreamRun::onComplete(const std::string& attempt) {
  if (isCurrent(attempt)) {
    onAttemptFailed(relay_.onWorkerEnd());
  }
}

void StreamRun::onFailure(const std::string& attempt, WorkerFailure failure, bool refused) {
  if (!isCurrent(attempt)) {
    return;
  }
  if (refused) {
    environment_.circuit.onRefused(placement_->prefill);
    environment_.fleet_view.observeRefused(placement_->prefill);
  }
  sent_ = sent_ || failure != WorkerFailure::NotSent;
  onAttemptFailed(relay_.mayRetryElsewhere() ? ResultCode::WorkerFailed : ResultCode::StreamBroken);
}

void StreamRun::onAttemptFailed(ResultCode code) {
  call_.cancel();
  attempt_.clear();
  last_failure_ = code;
  if (!relay_.mayRetryElsewhere()) {
    sendEvents(relay_.endWithError(code).events);
    if (!ended_) {
      finish(code);
    }
    return;
  }
  attempts_.exclude(placement_->prefill.entry.id);
  if (placement_->decode) {
    attempts_.exclude(placement_->decode->entry.id);
  }
  completePlacement(true);
  relay_.beginAttempt();
  place();
}

void StreamRun::sendEvents(const std::vector<std::string>& events) {
  for (const std::string& event : events) {
    outstanding_bytes_ += event.size();
    sink_->sendEvent(event, [weak = weak_from_this(), bytes = event.size()](WriteOutcome outcome) {
      if (const auto run = weak.lock()) {
        run->onWritten(outcome, bytes);
      }
    });
    if (ended_) {
      return;
    }
  }
}

void StreamRun::onWritten(WriteOutcome outcome, std::size_t bytes) {
  if (ended_) {
    return;
  }
  outstanding_bytes_ -= bytes;
  takeResponseMemory();
  if (outcome == WriteOutcome::Disconnected) {
    cancel();
    return;
  }
  relay_.onWritten();
  if (!relay_.ended()) {
    resumeReading();
  }
}

void StreamRun::finish(ResultCode code) {
  environment_.counters.streams_finished += code == ResultCode::Ok ? 1 : 0;
  environment_.counters.streams_broken += code == ResultCode::Ok ? 0 : 1;
  environment_.counters.countRequest("stream", code == ResultCode::Ok ? "ran" : "broken", code);
  if (code != ResultCode::Ok) {
    reportBroken(code);
  }
  completePlacement(code != ResultCode::Ok);
  const auto self = shared_from_this();
  release();
  sink_->end(code);
}

void StreamRun::reportBroken(ResultCode code) {
  if (environment_.incidents == nullptr) {
    return;
  }
  base::Incident incident;
  incident.event = "stream-broken";
  incident.severity = base::Severity::Warning;
  incident.code = code;
  incident.request_id = sent_request_id_;
  incident.fields = {{"caller_request_id", request_.caller_request_id},
                     {"tenant", request_.tenant},
                     {"worker", placement_ ? placement_->prefill.entry.id : std::string()},
                     {"run", relay_.run()},
                     {"pieces", std::to_string(relay_.chunks())}};
  incident.dumps_ring = true;
  environment_.incidents->report(incident);
}

void StreamRun::reject(ResultCode code, std::uint32_t retry_after_ms) {
  ++environment_.counters.refusals[code];
  environment_.counters.countRequest("stream", sent_ ? "unknown" : "not-run", code);
  completePlacement(placement_sent_);
  const auto self = shared_from_this();
  release();
  sink_->reject(StreamRejection{code, sent_, retry_after_ms});
}

void StreamRun::cancel() {
  if (ended_) {
    return;
  }
  completePlacement(false);
  release();
}

void StreamRun::completePlacement(bool failed) {
  if (!placement_) {
    return;
  }
  completion_.failed = failed;
  completion_.output_tokens = static_cast<std::uint32_t>(relay_.tokens());
  if (placement_sent_) {
    completion_.total = environment_.dispatcher.now() - dispatched_at_;
  }
  environment_.counters.stream_chunks += relay_.chunks();
  placement_.reset();
  environment_.router.complete(completion_);
}

void StreamRun::release() {
  const auto self = shared_from_this();
  abandon();
  flow_.runs_.erase(self);
  slot_.reset();
  const StageTicket ticket = std::exchange(ticket_, {});
}

void StreamRun::abandon() {
  ended_ = true;
  attempt_.clear();
  deadline_.stop();
  resume_ = nullptr;
  call_.cancel();
}

bool StreamRun::isCurrent(const std::string& attempt) const {
  return !ended_ && attempt == attempt_;
}

}  // namespace switchsaddle::front
