#include "workers/worker_state.h"

#include <boost/json.hpp>

namespace switchsaddle::testbed {
namespace {

constexpr std::uint16_t StatusUnavailable = 503;

}  // namespace

WorkerState::WorkerState(WorkerOptions worker_options, base::Dispatcher& strand,
                         http::Client& http_client, EventSink& sink,
                         std::function<void()> crash_process)
    : options(std::move(worker_options)),
      dispatcher(strand),
      client(http_client),
      events(sink),
      crash(std::move(crash_process)),
      started(strand.now()),
      slots(options.slots, options.queue_bound),
      cache(options.cache_tokens),
      random(options.seed) {}

std::string WorkerState::nextRun() {
  const auto start_ms = base::toMilliseconds(started.time_since_epoch());
  return options.id + "-" + std::to_string(start_ms) + "-" + std::to_string(++runs);
}

std::vector<http::Header> WorkerState::answerHeaders(const std::string& request_id) const {
  const std::string load = "running=" + std::to_string(slots.running()) +
                           ",queued=" + std::to_string(slots.queued()) +
                           ",slots=" + std::to_string(slots.slots());
  std::vector<http::Header> headers{{"Request-Id", request_id},
                                    {"Versions", "weights=" + options.weights_version},
                                    {"Worker-Load", load}};
  if (draining()) {
    headers.push_back({"Worker-State", "draining"});
  }
  return headers;
}

http::Response WorkerState::refusal(std::uint16_t status, const std::string& request_id,
                                    const std::string& reason) const {
  http::Response response;
  response.status = status;
  response.headers = answerHeaders(request_id);
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = boost::json::serialize(boost::json::object{{"error", reason}});
  return response;
}

http::Response WorkerState::refuseBeforeRun(const std::string& kind,
                                            const RequestIdentity& identity,
                                            const std::string& reason) {
  note(worker_event::Refused, kind, "", identity, 0, 0);
  http::Response response = refusal(StatusUnavailable, identity.request_id, reason);
  response.headers.push_back({"Not-Run", "true"});
  return response;
}

void WorkerState::note(const std::string& event, const std::string& kind, const std::string& run,
                       const RequestIdentity& identity, std::uint64_t cached_tokens,
                       std::uint64_t chunks) {
  WorkerEvent line;
  line.at_ms = base::toMilliseconds(dispatcher.now().time_since_epoch());
  line.event = event;
  line.kind = kind;
  line.run = run;
  line.idempotency_key = identity.idempotency_key;
  line.tenant = identity.tenant;
  line.model = identity.model;
  line.cached_tokens = cached_tokens;
  line.request_id = identity.request_id;
  line.caller_request_id = identity.caller_request_id;
  line.chunks = chunks;
  events.append(line);
}

void WorkerState::forget(const std::shared_ptr<PendingRequest>& request) {
  if (pending.erase(request) > 0) {
    dispatcher.post([kept = request] {});
  }
}

}  // namespace switchsaddle::testbed
