#include "text_targets.h"

#include "switchsaddle/base/error.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/settings.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/front/request/request_parser.h"
#include "switchsaddle/front/worker_calls/http_worker_port.h"
#include "switchsaddle/streams/event_stream_parser.h"
#include "switchsaddle/workers/platform_list.h"

namespace switchsaddle::fuzz {

namespace {

using configuration::Fault;

void require(bool condition, const char* what) {
  if (!condition) {
    throw Violation(what);
  }
}

/** A tenant's limit on tokens, and another that a body which names its own must not take on. */
constexpr std::uint32_t MaximumTokens = 1'024;
constexpr std::uint32_t OtherMaximumTokens = 7;

/** What a worker is sent must mean to it what the caller's body meant here. */
void readCompletion(const std::string& input) {
  const front::CompletionBody body = front::parseCompletionBody(input, MaximumTokens);
  const front::CompletionBody again =
      front::parseCompletionBody(body.worker_body, OtherMaximumTokens);
  require(again.worker_body == body.worker_body, "the worker's body changes when read again");
  require(again.prompt.model == body.prompt.model, "the model changes when read again");
  require(again.prompt.maximum_tokens == body.prompt.maximum_tokens,
          "the limit on tokens changes when read again");
}

void readOneShot(const std::string& input) {
  const front::OneShotBody body = front::parseOneShotBody(input);
  const front::OneShotBody again = front::parseOneShotBody(body.worker_body);
  require(again.fingerprint == body.fingerprint, "the fingerprint changes when read again");
}

void readChange(const std::string& input) {
  std::vector<Fault> faults;
  const configuration::Change change = configuration::parseChange(input, faults);
  if (faults.empty()) {
    const configuration::Document next = configuration::applyChange({}, change);
    // Whatever the content, the check must answer.
    configuration::checkDocument(next);
  }
}

void readKeyRequest(const std::string& input) {
  std::vector<Fault> faults;
  configuration::parseKeyRequest(input, faults);
  configuration::parseEvacuationRequest(input, faults);
}

void readSettings(const std::string& input) {
  std::vector<Fault> faults;
  const configuration::Settings settings = configuration::parseSettings(input, faults);
  configuration::checkSettings(settings, "front");
  configuration::checkSettings(settings, "core");
}

/** A configuration without a fault must also become a view. */
void readConfiguration(const std::string& input) {
  std::vector<Fault> faults;
  const configuration::Document document = configuration::parseConfigurationFile(input, faults);
  if (faults.empty() && configuration::checkDocument(document).empty()) {
    configuration::buildView(document);
  }
}

void readBeliefs(const std::string& input) {
  std::vector<Fault> faults;
  const auto report = configuration::parseStateReport(input, faults);
  require(report.has_value() || !faults.empty(), "refused without a fault");
}

std::string describe(const std::vector<streams::WorkerEvent>& events) {
  std::string text;
  for (const streams::WorkerEvent& event : events) {
    text += event.run + ' ' + std::to_string(event.index) + ' ' + event.data +
            (event.done ? " done\n" : "\n");
  }
  return text;
}

/** The events are the same in whatever pieces the bytes come. */
void readEventStream(const std::string& input) {
  streams::EventStreamParser whole;
  std::vector<streams::WorkerEvent> events;
  const base::ResultCode code = whole.feed(input, events);
  streams::EventStreamParser bytewise;
  std::vector<streams::WorkerEvent> bytewise_events;
  base::ResultCode bytewise_code = base::ResultCode::Ok;
  for (const char byte : input) {
    bytewise_code = bytewise.feed(std::string_view(&byte, 1), bytewise_events);
  }
  require(describe(events) == describe(bytewise_events), "the events depend on the pieces");
  require(code == bytewise_code, "the result depends on the pieces");
}

/** Takes "Name: value" lines as the headers of a worker's answer. */
void readWorkerHead(const std::string& input) {
  http::Response response;
  std::size_t from = 0;
  while (from < input.size()) {
    const std::size_t end = std::min(input.find('\n', from), input.size());
    const std::string line = input.substr(from, end - from);
    const std::size_t colon = std::min(line.find(": "), line.size());
    response.headers.push_back(
        {line.substr(0, colon), line.substr(std::min(colon + 2, line.size()))});
    from = end + 1;
  }
  front::parseWorkerHead(response);
}

void readPlatformList(const std::string& input) {
  const workers::PlatformReading reading = workers::parsePlatformList(input);
  const bool is_good = reading.code == base::ResultCode::Ok;
  require(is_good || !reading.fault.empty(), "refused without a fault");
  require(is_good || reading.workers.empty(), "half a list was handed out");
}

}  // namespace

std::vector<Target> textTargets() {
  return {{"completion", {}, readCompletion},  {"one-shot", {}, readOneShot},
          {"change", {}, readChange},          {"key-request", {}, readKeyRequest},
          {"settings", {}, readSettings},      {"configuration", {}, readConfiguration},
          {"beliefs", {}, readBeliefs},        {"event-stream", {}, readEventStream},
          {"worker-head", {}, readWorkerHead}, {"platform-list", {}, readPlatformList}};
}

}  // namespace switchsaddle::fuzz
