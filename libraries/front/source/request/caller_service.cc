#include "switchsaddle/front/request/caller_service.h"

#include <algorithm>
#include <utility>

#include "request/caller_answers.h"
#include "request/caller_authentication.h"
#include "request/caller_sinks.h"
#include "request/status_resources.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/front/request/request_parser.h"

namespace switchsaddle::front {

using base::ResultCode;

namespace {

constexpr std::string_view CompletionsPath = "/v1/chat/completions";
constexpr std::string_view OneShotsPath = "/v1/one-shots";
constexpr std::size_t LongestIdempotencyKey = 255;
constexpr std::uint32_t DefaultRetryAfterMs = 1'000;
void checkAllowed(const configuration::Tenant& tenant, const std::string& service) {
  const std::vector<std::string>& allowed = tenant.shape.services;
  if (std::find(allowed.begin(), allowed.end(), service) == allowed.end()) {
    throw base::Error(ResultCode::UnknownService, "the tenant's shape does not allow the service");
  }
}

std::string idempotencyKey(const http::Request& request) {
  const std::string_view key = request.header("Idempotency-Key");
  if (key.empty()) {
    throw base::Error(ResultCode::MissingIdempotencyKey, "");
  }
  if (key.size() > LongestIdempotencyKey) {
    throw base::Error(ResultCode::InvalidValue, "the key is longer than 255 bytes",
                      "Idempotency-Key");
  }
  return std::string(key);
}

}  // namespace

CallerService::CallerService(CallerDependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

void CallerService::enqueue(http::Request request, http::ResponseWriterPtr writer) {
  if (queued_.fetch_add(1) >= QueueBound) {
    queued_.fetch_sub(1);
    queue_refusals_.fetch_add(1);
    const bool one_shot = http::targetPath(request.target) == OneShotsPath;
    const Outcome outcome = one_shot ? Outcome::Unknown : Outcome::NotRun;
    writer->respond(errorAnswer(ResultCode::QueueFull, {outcome, DefaultRetryAfterMs, {}, {}}));
    return;
  }
  auto handle_queued = callbacks_.guard([this, request = std::move(request), writer] {
    queued_.fetch_sub(1);
    handle(request, writer);
  });
  dependencies_.dispatcher.post(std::move(handle_queued));
}

void CallerService::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  try {
    route(request, writer);
  } catch (const base::Error& error) {
    reject(request, error, writer);
  }
}

void CallerService::reject(const http::Request& request, const base::Error& error,
                           const http::ResponseWriterPtr& writer) {
  ++dependencies_.counters.refusals[error.code()];
  ErrorDetails details;
  details.message = error.what();
  details.path = error.path();
  const base::ResultCodeInfo& info = base::describe(error.code());
  details.retry_after_ms = info.retry_is_safe ? DefaultRetryAfterMs : 0;
  const std::string_view path = http::targetPath(request.target);
  if (path == CompletionsPath) {
    details.outcome = Outcome::NotRun;
    dependencies_.counters.countRequest("stream", "not-run", error.code());
  } else if (path == OneShotsPath) {
    details.outcome = Outcome::Unknown;
    dependencies_.counters.countRequest("one-shot", "unknown", error.code());
  }
  writer->respond(errorAnswer(error.code(), details));
}

ResultCode CallerService::readiness() const {
  if (stopping_) {
    return ResultCode::Stopping;
  }
  const bool serves =
      dependencies_.forwards != nullptr ? servesForwarding() : dependencies_.session.mayDispatch();
  return serves ? ResultCode::Ok : ResultCode::NotServing;
}

bool CallerService::servesForwarding() const {
  const bool has_fleet_data = dependencies_.fleet_view.configuration()->version > 0 &&
                              !dependencies_.fleet_view.workers()->workers.empty();
  const bool may_serve =
      dependencies_.expired_session_policy == configuration::ExpiredSessionPolicy::Serve ||
      dependencies_.session.mayDispatch();
  return has_fleet_data && may_serve;
}

bool CallerService::isForwarded(const http::Request& request) const {
  if (dependencies_.forwards == nullptr) {
    return false;
  }
  const std::string_view path = http::targetPath(request.target);
  const configuration::Forwarding& forwarding =
      dependencies_.fleet_view.configuration()->forwarding;
  if (forwarding.hasHost(hostName(request.header("Host")))) {
    return true;
  }
  const bool is_own_resource = StatusResources::serves(path) || path == CompletionsPath ||
                               path == OneShotsPath || ControlForwarder::serves(path);
  return !is_own_resource;
}

void CallerService::forward(const http::Request& request, const http::ResponseWriterPtr& writer) {
  if (forwarding_stopped_) {
    throw base::Error(ResultCode::Stopping, "");
  }
  if (!servesForwarding()) {
    throw base::Error(ResultCode::NotServing, "");
  }
  ForwardRequest parsed = parseForwardRequest(dependencies_.fleet_view.configuration(), request,
                                              dependencies_.forward_headers);
  dependencies_.forwards->run(std::move(parsed), writer);
}

void CallerService::route(const http::Request& request, const http::ResponseWriterPtr& writer) {
  if (isForwarded(request)) {
    forward(request, writer);
    return;
  }
  const std::string_view path = http::targetPath(request.target);
  const bool is_work = path == CompletionsPath || path == OneShotsPath;
  if (is_work && request.method != "POST") {
    throw base::Error(ResultCode::MethodNotAllowed, "");
  }
  if (path == CompletionsPath) {
    handleCompletion(request, writer);
  } else if (path == OneShotsPath) {
    handleOneShot(request, writer);
  } else if (ControlForwarder::serves(path)) {
    dependencies_.control.forward(
        request, [writer](http::Response response) { writer->respond(std::move(response)); });
  } else {
    writer->respond(StatusResources(dependencies_).respond(request, path, readiness()));
  }
}

void CallerService::handleCompletion(const http::Request& request,
                                     const http::ResponseWriterPtr& writer) {
  const std::shared_ptr<const configuration::View> view = dependencies_.fleet_view.configuration();
  checkServing();
  const configuration::Tenant& tenant = authenticateTenant(*view, request);
  CompletionBody body = parseCompletionBody(request.body, tenant.shape.maximum_tokens);
  if (view->routeOfModel(body.prompt.model) == nullptr) {
    throw base::Error(ResultCode::UnknownModel, "", "model");
  }
  checkAllowed(tenant, configuration::CompletionsService);
  if (body.prompt.maximum_tokens > tenant.shape.maximum_tokens) {
    throw base::Error(ResultCode::InvalidValue,
                      "the number exceeds the limit of the tenant's shape", "max_tokens");
  }
  StreamRequest stream;
  stream.tenant = tenant.name;
  stream.key_hash = secretHash(request);
  stream.branch = tenant.stream_branch;
  stream.shape = tenant.shape;
  stream.caller_request_id = request.header("Request-Id");
  stream.prompt = std::move(body.prompt);
  stream.body = std::move(body.worker_body);
  stream.memory = request.memory;
  runStream(std::move(stream), body.stream, writer);
}

void CallerService::runStream(StreamRequest stream, bool as_event_stream,
                              const http::ResponseWriterPtr& writer) {
  std::shared_ptr<StreamSink> sink;
  if (as_event_stream) {
    sink = std::make_shared<EventStreamSink>(dependencies_.dispatcher, writer);
  } else {
    sink = std::make_shared<CollectingSink>(stream.prompt.model, writer);
  }
  const std::shared_ptr<StreamHandle> handle =
      dependencies_.streams.run(std::move(stream), std::move(sink));
  CallerConnection(dependencies_.dispatcher, writer).onDisconnected([weak = std::weak_ptr(handle)] {
    if (const auto stream_in_flight = weak.lock()) {
      stream_in_flight->cancel();
    }
  });
}

void CallerService::handleOneShot(const http::Request& request,
                                  const http::ResponseWriterPtr& writer) {
  const std::shared_ptr<const configuration::View> view = dependencies_.fleet_view.configuration();
  checkServing();
  const configuration::Tenant& tenant = authenticateTenant(*view, request);
  OneShotBody body = parseOneShotBody(request.body);
  OneShotRequest one_shot;
  one_shot.idempotency_key = idempotencyKey(request);
  if (body.service == configuration::CompletionsService ||
      view->routeOfService(body.service) == nullptr) {
    throw base::Error(ResultCode::UnknownService, "", "service");
  }
  checkAllowed(tenant, body.service);
  one_shot.tenant = tenant.name;
  one_shot.key_hash = secretHash(request);
  one_shot.branch = tenant.one_shot_branch;
  one_shot.service = body.service;
  one_shot.caller_request_id = request.header("Request-Id");
  one_shot.fingerprint = body.fingerprint;
  one_shot.body = std::move(body.worker_body);
  one_shot.memory = request.memory;
  one_shot.deadline = std::chrono::milliseconds(tenant.shape.one_shot_deadline_ms);
  auto run = callbacks_.guard(
      [this, one_shot = std::move(one_shot), writer](const StageTicket& ticket) mutable {
        runOneShot(std::move(one_shot), writer, ticket);
      });
  if (!one_shot_stage_.submit(std::move(run))) {
    throw base::Error(ResultCode::QueueFull, "");
  }
}

void CallerService::runOneShot(OneShotRequest request, const http::ResponseWriterPtr& writer,
                               const StageTicket& ticket) {
  base::Incident incident;
  incident.request_id = request.caller_request_id;
  incident.fields = {{"tenant", request.tenant},
                     {"service", request.service},
                     {"idempotency_key", request.idempotency_key}};
  auto count =
      callbacks_.guard([this, incident = std::move(incident)](const OneShotAnswer& answer) {
        countOneShot(incident, answer);
      });
  // The caller gets its answer even if the service has been destroyed meanwhile.
  dependencies_.one_shots.run(std::move(request),
                              [count, writer, ticket](const OneShotAnswer& answer) mutable {
                                count(answer);
                                writer->respond(oneShotAnswer(answer));
                              });
}

void CallerService::countOneShot(base::Incident incident, const OneShotAnswer& answer) {
  dependencies_.counters.countRequest("one-shot", outcomeName(answer.outcome), answer.code);
  if (answer.outcome != Outcome::Unknown || dependencies_.incidents == nullptr) {
    return;
  }
  incident.event = "one-shot-unknown";
  incident.severity = base::Severity::Warning;
  incident.code = answer.code;
  dependencies_.incidents->report(incident);
}

void CallerService::checkServing() const {
  if (stopping_) {
    throw base::Error(ResultCode::Stopping, "");
  }
  if (!dependencies_.session.mayDispatch()) {
    throw base::Error(ResultCode::NotServing, "");
  }
}

}  // namespace switchsaddle::front
