#include "switchsaddle/front/caller_service.h"

#include <algorithm>
#include <array>
#include <utility>

#include "caller_answers.h"
#include "caller_sinks.h"
#include "routing_page.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/front/request_parser.h"

namespace switchsaddle::front {

using base::ResultCode;

namespace {

constexpr std::string_view CompletionsPath = "/v1/chat/completions";
constexpr std::string_view OneShotsPath = "/v1/one-shots";
/** Resources that this front answers by itself, to GET alone. */
constexpr std::array<std::string_view, 6> PlainPaths{"/",        "/healthz",    "/readyz",
                                                     "/metrics", "/v1/routing", "/v1/beliefs"};
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t LongestIdempotencyKey = 255;
constexpr std::uint32_t DefaultRetryAfterMs = 1'000;
/** The page brings everything with it and asks this front alone. */
constexpr const char* PagePolicy =
    "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; "
    "img-src data:; connect-src 'self'";

std::string secretHash(const http::Request& request) {
  const std::string_view authorization = request.header("Authorization");
  if (!authorization.starts_with(BearerPrefix)) {
    throw base::Error(ResultCode::MissingKey, "");
  }
  return configuration::sha256Hex(std::string(authorization.substr(BearerPrefix.size())));
}

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
    throw base::Error(ResultCode::InvalidValue, "the key is too long", "Idempotency-Key");
  }
  return std::string(key);
}

void writeRow(configuration::JsonWriter& writer, const routing::RoutingRow& row) {
  writer.beginObject();
  writer.name("model").string(row.model);
  writer.name("arm").string(row.arm);
  writer.name("tokens_per_second").number(row.tokens_per_second);
  writer.name("coefficient").number(row.coefficient);
  writer.name("expected_share").number(row.expected_share);
  writer.name("samples").unsignedInteger(row.samples);
  writer.name("mass").number(row.mass);
  writer.name("status").string(row.status);
  writer.name("epoch").unsignedInteger(row.epoch);
  writer.name("first_token_estimate_ms").number(row.first_token_estimate_ms);
  writer.name("in_flight").unsignedInteger(row.in_flight);
  writer.name("seconds_per_prefill_token").number(row.seconds_per_prefill_token);
  writer.name("seconds_per_output_token").number(row.seconds_per_output_token);
  writer.endObject();
}

/** The settings of ADR-0021 in force, under the names it gives them. */
void writeTuning(configuration::JsonWriter& writer, const configuration::Tuning& tuning) {
  writer.name("tuning").beginObject();
  writer.name("route-explore-share").number(tuning.route_explore_share);
  writer.name("route-weight-alpha").number(tuning.route_weight_alpha);
  writer.name("route-stats-half-life").number(tuning.route_stats_half_life_s);
  writer.name("route-min-sample-tokens").unsignedInteger(tuning.route_min_sample_tokens);
  writer.endObject();
}

}  // namespace

CallerService::CallerService(CallerDependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

void CallerService::enqueue(http::Request request, http::ResponseWriterPtr writer) {
  if (waiting_.fetch_add(1) >= QueueBound) {
    waiting_.fetch_sub(1);
    queue_refusals_.fetch_add(1);
    const bool one_shot = http::targetPath(request.target) == OneShotsPath;
    const Outcome outcome = one_shot ? Outcome::Unknown : Outcome::NotRun;
    writer->respond(errorAnswer(ResultCode::QueueFull, {outcome, DefaultRetryAfterMs, {}, {}}));
    return;
  }
  dependencies_.dispatcher.post([this, alive = std::weak_ptr(alive_), request = std::move(request),
                                 writer = std::move(writer)] {
    if (!alive.expired()) {
      waiting_.fetch_sub(1);
      handle(request, writer);
    }
  });
}

void CallerService::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  try {
    route(request, writer);
  } catch (const base::Error& error) {
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
}

bool CallerService::ready() const {
  if (stopping_) {
    return false;
  }
  return dependencies_.forwards != nullptr ? servesForwarding()
                                           : dependencies_.session.mayDispatch();
}

bool CallerService::servesForwarding() const {
  const bool knows_fleet = dependencies_.beliefs.configuration()->version > 0 &&
                           !dependencies_.beliefs.workers()->workers.empty();
  const bool may_serve = dependencies_.lapsed_session == configuration::LapsedSession::Serve ||
                         dependencies_.session.mayDispatch();
  return knows_fleet && may_serve;
}

bool CallerService::isForwarded(const http::Request& request) const {
  if (dependencies_.forwards == nullptr) {
    return false;
  }
  const std::string_view path = http::targetPath(request.target);
  const configuration::Forwarding& forwarding = dependencies_.beliefs.configuration()->forwarding;
  if (forwarding.knowsHost(hostName(request.header("Host")))) {
    return true;
  }
  const bool own = std::find(PlainPaths.begin(), PlainPaths.end(), path) != PlainPaths.end() ||
                   path == CompletionsPath || path == OneShotsPath ||
                   ControlForwarder::serves(path);
  return !own;
}

void CallerService::forward(const http::Request& request, const http::ResponseWriterPtr& writer) {
  if (forwarding_stopped_) {
    throw base::Error(ResultCode::Stopping, "");
  }
  if (!servesForwarding()) {
    throw base::Error(ResultCode::NotServing, "");
  }
  ForwardRequest parsed = parseForwardRequest(dependencies_.beliefs.configuration(), request,
                                              dependencies_.forward_headers);
  dependencies_.forwards->run(std::move(parsed), writer);
}

void CallerService::route(const http::Request& request, const http::ResponseWriterPtr& writer) {
  if (isForwarded(request)) {
    forward(request, writer);
    return;
  }
  const std::string_view path = http::targetPath(request.target);
  const bool work = path == CompletionsPath || path == OneShotsPath;
  if (work && request.method != "POST") {
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
    writer->respond(plainAnswer(request, path));
  }
}

void CallerService::handleCompletion(const http::Request& request,
                                     const http::ResponseWriterPtr& writer) {
  const std::shared_ptr<const configuration::View> view = dependencies_.beliefs.configuration();
  checkServing();
  const configuration::Tenant& tenant = authenticate(*view, request);
  CompletionBody body = parseCompletionBody(request.body, tenant.shape.maximum_tokens);
  if (view->routeOfModel(body.prompt.model) == nullptr) {
    throw base::Error(ResultCode::UnknownModel, "", "model");
  }
  checkAllowed(tenant, configuration::CompletionsService);
  if (body.prompt.maximum_tokens > tenant.shape.maximum_tokens) {
    throw base::Error(ResultCode::InvalidValue, "more than the shape allows", "max_tokens");
  }
  StreamRequest stream;
  stream.tenant = tenant.name;
  stream.key_hash = secretHash(request);
  stream.branch = tenant.stream_branch;
  stream.shape = tenant.shape;
  stream.caller_request_id = request.header("Request-Id");
  stream.prompt = std::move(body.prompt);
  stream.body = std::move(body.worker_body);
  std::shared_ptr<StreamSink> sink;
  if (body.stream) {
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
  const std::shared_ptr<const configuration::View> view = dependencies_.beliefs.configuration();
  checkServing();
  const configuration::Tenant& tenant = authenticate(*view, request);
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
  one_shot.deadline = std::chrono::milliseconds(tenant.shape.one_shot_deadline_ms);
  const bool queued = one_shot_stage_.submit(
      [this, alive = std::weak_ptr(alive_), one_shot, writer](const StageTicket& ticket) {
        if (alive.expired()) {
          return;
        }
        dependencies_.one_shots.run(
            one_shot, [this, alive, one_shot, writer, ticket](const OneShotAnswer& answer) {
              if (!alive.expired()) {
                countOneShot(one_shot, answer);
              }
              writer->respond(oneShotAnswer(answer));
            });
      });
  if (!queued) {
    throw base::Error(ResultCode::QueueFull, "");
  }
}

http::Response CallerService::plainAnswer(const http::Request& request,
                                          std::string_view path) const {
  const bool known = std::find(PlainPaths.begin(), PlainPaths.end(), path) != PlainPaths.end();
  if (known && request.method != "GET") {
    throw base::Error(ResultCode::MethodNotAllowed, "");
  }
  if (path == "/") {
    http::Response response;
    response.headers.push_back({"Content-Type", "text/html; charset=utf-8"});
    response.headers.push_back({"Content-Security-Policy", PagePolicy});
    response.body = routingPage();
    return response;
  }
  if (path == "/healthz") {
    return jsonAnswer("{\"status\":\"ok\"}");
  }
  if (path == "/readyz") {
    const ResultCode code = stopping_ ? ResultCode::Stopping : ResultCode::NotServing;
    return ready() ? jsonAnswer("{\"status\":\"ready\"}") : errorAnswer(code, {});
  }
  if (path == "/metrics") {
    http::Response response;
    response.headers.push_back({"Content-Type", metrics::ContentType});
    response.body = dependencies_.metrics();
    return response;
  }
  if (path == "/v1/routing") {
    return routingTable(request);
  }
  if (path == "/v1/beliefs") {
    return stateReport(request);
  }
  throw base::Error(ResultCode::UnknownPath, "");
}

void CallerService::countOneShot(const OneShotRequest& request, const OneShotAnswer& answer) {
  dependencies_.counters.countRequest("one-shot", outcomeName(answer.outcome), answer.code);
  if (answer.outcome != Outcome::Unknown || dependencies_.incidents == nullptr) {
    return;
  }
  base::Incident incident;
  incident.event = "one-shot-unknown";
  incident.severity = base::Severity::Warning;
  incident.code = answer.code;
  incident.request_id = request.caller_request_id;
  incident.fields = {{"tenant", request.tenant},
                     {"service", request.service},
                     {"idempotency_key", request.idempotency_key}};
  dependencies_.incidents->report(incident);
}

http::Response CallerService::routingTable(const http::Request& request) const {
  std::vector<std::string> models{http::queryParameter(request.target, "model")};
  if (models.front().empty()) {
    models.clear();
    for (const auto& [name, route] : dependencies_.beliefs.configuration()->routes) {
      models.insert(models.end(), route.models.begin(), route.models.end());
    }
  }
  configuration::JsonWriter writer;
  writer.beginObject();
  writer.name("node").raw(dependencies_.node_report());
  writeTuning(writer, dependencies_.beliefs.configuration()->tuning);
  writer.name("rows").beginArray();
  for (const std::string& model : models) {
    for (const routing::RoutingRow& row : dependencies_.router.table(model)) {
      writeRow(writer, row);
    }
  }
  writer.endArray().endObject();
  return jsonAnswer(writer.text());
}

http::Response CallerService::stateReport(const http::Request& request) const {
  const std::string hash = secretHash(request);
  const std::vector<std::string>& first = dependencies_.operator_hashes;
  const std::shared_ptr<const configuration::View> view = dependencies_.beliefs.configuration();
  const bool is_operator = std::find(first.begin(), first.end(), hash) != first.end() ||
                           view->operator_hashes.contains(hash);
  if (!is_operator) {
    throw base::Error(
        view->keys.contains(hash) ? ResultCode::NotAnOperator : ResultCode::UnknownKey, "");
  }
  return jsonAnswer(dependencies_.state_report());
}

const configuration::Tenant& CallerService::authenticate(const configuration::View& view,
                                                         const http::Request& request) const {
  const auto key = view.keys.find(secretHash(request));
  if (key == view.keys.end()) {
    throw base::Error(ResultCode::UnknownKey, "");
  }
  const auto tenant = view.tenants.find(key->second.tenant);
  if (tenant == view.tenants.end()) {
    throw base::Error(ResultCode::UnknownKey, "the key's tenant is not known");
  }
  return tenant->second;
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
