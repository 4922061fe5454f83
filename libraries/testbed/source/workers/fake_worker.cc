#include "switchsaddle/testbed/workers/fake_worker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"
#include "workers/decode_relay.h"
#include "workers/one_shot_run.h"
#include "workers/stream_run.h"
#include "workers/worker_state.h"

namespace switchsaddle::testbed {
namespace {

/** Estimate of the bytes of text per token. */
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint32_t LongestOutput = 4'096;

std::uint32_t ownTokens(const boost::json::object& body) {
  std::size_t bytes = 0;
  for (const boost::json::object& message : objectListField(body, "messages")) {
    bytes += textField(message, "content").size();
  }
  return static_cast<std::uint32_t>(bytes / BytesPerToken + 1);
}

std::vector<PrefixSegment> prefixSegments(const boost::json::object& body) {
  std::vector<PrefixSegment> segments;
  for (const boost::json::object& segment : objectListField(body, "prefix_parts")) {
    const auto tokens =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, integerField(segment, "tokens")));
    segments.push_back(PrefixSegment{textField(segment, "id"), tokens});
  }
  return segments;
}

std::uint32_t outputTokens(const boost::json::object& body, WorkerState& worker) {
  std::int64_t tokens = integerField(body, "max_tokens");
  if (tokens <= 0) {
    const double mean = worker.options.mean_output_tokens;
    tokens = std::llround(-mean * std::log(1.0 - worker.random.uniform()));
  }
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(tokens, 1, LongestOutput));
}

RequestIdentity parseIdentity(const http::Request& request) {
  RequestIdentity identity;
  identity.request_id = request.header("Request-Id");
  identity.caller_request_id = request.header("Caller-Request-Id");
  if (identity.caller_request_id.empty()) {
    identity.caller_request_id = identity.request_id;
  }
  identity.tenant = request.header("Tenant");
  return identity;
}

StreamRequest parseStream(const http::Request& request, WorkerState& worker) {
  const boost::json::object body = parseObject(request.body);
  StreamRequest stream;
  stream.identity = parseIdentity(request);
  stream.identity.model = textField(body, "model");
  stream.segments = prefixSegments(body);
  stream.own_tokens = ownTokens(body);
  stream.output_tokens = outputTokens(body, worker);
  stream.prefilled = !request.header(PrefilledHeader).empty();
  return stream;
}

}  // namespace

FakeWorker::FakeWorker(WorkerOptions options, base::Dispatcher& dispatcher, http::Client& client,
                       EventSink& events, std::function<void()> crash)
    : state_(std::make_unique<WorkerState>(std::move(options), dispatcher, client, events,
                                           std::move(crash))) {
  state_->note("up", "process", "", RequestIdentity{}, 0, 0);
}

FakeWorker::~FakeWorker() = default;

void FakeWorker::drain() {
  state_->drained = true;
}

bool FakeWorker::idle() const {
  return state_->pending.empty();
}

void FakeWorker::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const std::string_view path = http::targetPath(request.target);
  try {
    if (path == "/testbed/faults" && request.method == "POST") {
      handleFaults(request, writer);
    } else if (path == "/testbed/state") {
      handleState(writer);
    } else if (path == "/v1/chat/completions" && request.method == "POST") {
      handleStream(request, writer);
    } else if (path == "/v1/one-shots" && request.method == "POST") {
      handleOneShot(request, writer);
    } else {
      writer->respond(state_->refusal(404, "", "unknown path or method"));
    }
  } catch (const base::Error& error) {
    writer->respond(state_->refusal(400, std::string(request.header("Request-Id")), error.what()));
  }
}

void FakeWorker::handleFaults(const http::Request& request, const http::ResponseWriterPtr& writer) {
  state_->fault = parseFaultOrder(request.body);
  if (state_->fault.active(FaultMode::Crash) && !state_->fault.waits_for_chunk) {
    state_->crash();
    return;
  }
  http::Response response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = "{}";
  writer->respond(std::move(response));
}

void FakeWorker::handleState(const http::ResponseWriterPtr& writer) {
  http::Response response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = boost::json::serialize(
      boost::json::object{{"id", state_->options.id},
                          {"state", state_->draining() ? "draining" : "ready"},
                          {"running", state_->slots.running()},
                          {"queued", state_->slots.queued()},
                          {"slots", state_->slots.slots()},
                          {"weights_version", state_->options.weights_version}});
  writer->respond(std::move(response));
}

bool FakeWorker::refuseByFault(const std::string& kind, const http::Request& request,
                               const http::ResponseWriterPtr& writer) {
  if (!state_->fault.take(FaultMode::Refuse)) {
    return false;
  }
  writer->respond(state_->refuseBeforeRun(kind, parseIdentity(request), "refused"));
  return true;
}

void FakeWorker::handleStream(const http::Request& request, const http::ResponseWriterPtr& writer) {
  if (refuseByFault("stream", request, writer)) {
    return;
  }
  StreamRequest stream = parseStream(request, *state_);
  const auto& models = state_->options.models;
  if (std::find(models.begin(), models.end(), stream.identity.model) == models.end()) {
    writer->respond(
        state_->refusal(404, stream.identity.request_id, "model is not served by this worker"));
    return;
  }
  const std::string_view decode_worker = request.header("Decode-Worker");
  if (decode_worker.empty()) {
    std::make_shared<StreamRun>(*state_, std::move(stream), writer)->start();
    return;
  }
  const auto address = base::NodeAddress::parse(decode_worker);
  std::make_shared<DecodeRelay>(*state_, std::move(stream), request, address, writer)->start();
}

void FakeWorker::handleOneShot(const http::Request& request,
                               const http::ResponseWriterPtr& writer) {
  if (refuseByFault("one-shot", request, writer)) {
    return;
  }
  const boost::json::object body = parseObject(request.body);
  RequestIdentity identity = parseIdentity(request);
  identity.idempotency_key = request.header("Idempotency-Key");
  identity.model = textField(body, "model");
  if (identity.idempotency_key.empty()) {
    writer->respond(state_->refusal(400, identity.request_id, "Idempotency-Key is missing"));
    return;
  }
  std::make_shared<OneShotRun>(*state_, std::move(identity), writer)->start();
}

}  // namespace switchsaddle::testbed
