#include "switchsaddle/front/worker_calls/http_worker_port.h"

#include <charconv>
#include <utility>

#include "worker_calls/http_call.h"
#include "worker_calls/response_matcher.h"

namespace switchsaddle::front {

namespace {

constexpr const char* RequestIdHeader = "Request-Id";

std::uint32_t parseCount(std::string_view text) {
  std::uint32_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  return error == std::errc() && end == text.data() + text.size() ? count : 0;
}

/** Parses "running=R,queued=Q,slots=S"; ignores unknown names. */
std::optional<WorkerLoad> parseLoad(std::string_view text) {
  if (text.empty()) {
    return std::nullopt;
  }
  WorkerLoad load;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view entry = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    const std::string_view name = entry.substr(0, equals);
    const std::uint32_t count = parseCount(entry.substr(equals + 1));
    if (name == "running") {
      load.running = count;
    } else if (name == "queued") {
      load.queued = count;
    } else if (name == "slots") {
      load.slots = count;
    }
  }
  return load;
}

http::Request toHttpRequest(const WorkerRequest& request) {
  http::Request message;
  message.method = "POST";
  message.target = request.target;
  message.body = request.body;
  message.memory = request.memory;
  message.headers.push_back({"Content-Type", "application/json"});
  message.headers.push_back({RequestIdHeader, request.request_id});
  message.headers.push_back({"Tenant", request.tenant});
  if (!request.caller_request_id.empty()) {
    message.headers.push_back({"Caller-Request-Id", request.caller_request_id});
  }
  if (!request.idempotency_key.empty()) {
    message.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  if (request.decode) {
    message.headers.push_back({"Decode-Worker", request.decode->toString()});
  }
  return message;
}

}  // namespace

WorkerHead parseWorkerHead(const http::Response& head) {
  WorkerHead parsed;
  parsed.status = head.status;
  parsed.request_id = head.header(RequestIdHeader);
  parsed.run = head.header("Run");
  parsed.weights_version = head.header("Versions");
  parsed.load = parseLoad(head.header("Worker-Load"));
  parsed.cached_tokens = parseCount(head.header("Cached-Tokens"));
  parsed.draining = head.header("Worker-State") == "draining";
  parsed.not_run = head.header("Not-Run") == "true";
  return parsed;
}

HttpWorkerPort::HttpWorkerPort(base::Dispatcher& dispatcher, http::Client& client,
                               std::string local_ip,
                               std::shared_ptr<base::ByteBudget> response_memory)
    : dispatcher_(dispatcher),
      client_(client),
      local_ip_(std::move(local_ip)),
      response_memory_(std::move(response_memory)) {}

WorkerCallPtr HttpWorkerPort::send(const WorkerRequest& request,
                                   std::shared_ptr<WorkerObserver> observer) {
  http::ExchangeOptions options;
  options.response_timeout = request.response_timeout;
  options.fresh_connection = request.fresh_connection;
  options.local_ip = local_ip_;
  options.response_memory = response_memory_;
  options.accepts_response = responseMatcher(request.address, RequestIdHeader, request.request_id);
  options.is_refusal = [](const http::Response& head) { return parseWorkerHead(head).not_run; };
  auto call =
      std::make_shared<HttpCall<WorkerHead>>(dispatcher_, std::move(observer), parseWorkerHead);
  call->setExchange(client_.start(request.address, toHttpRequest(request), options, call));
  return call;
}

}  // namespace switchsaddle::front
