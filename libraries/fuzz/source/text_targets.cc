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

/** A tenant's token limit, and another one that must not replace the limit in a parsed body. */
constexpr std::uint32_t MaximumTokens = 1'024;
constexpr std::uint32_t OtherMaximumTokens = 7;

/** The body sent to a worker must be parsed to the same values as the caller's body. */
void readCompletion(const std::string& input) {
  const front::CompletionBody body = front::parseCompletionBody(input, MaximumTokens);
  const front::CompletionBody reparsed =
      front::parseCompletionBody(body.worker_body, OtherMaximumTokens);
  require(reparsed.worker_body == body.worker_body,
          "the worker's body changes when it is parsed again");
  require(reparsed.prompt.model == body.prompt.model,
          "the model changes when the worker's body is parsed");
  require(reparsed.prompt.maximum_tokens == body.prompt.maximum_tokens,
          "the token limit changes when the worker's body is parsed");
}

void readOneShot(const std::string& input) {
  const front::OneShotBody body = front::parseOneShotBody(input);
  const front::OneShotBody reparsed = front::parseOneShotBody(body.worker_body);
  require(reparsed.fingerprint == body.fingerprint,
          "the fingerprint changes when the worker's body is parsed");
}

void readChange(const std::string& input) {
  std::vector<Fault> faults;
  const configuration::Change change = configuration::parseChange(input, faults);
  if (faults.empty()) {
    const configuration::Document next = configuration::applyChange({}, change);
    // The check must return for any content.
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

/** A configuration without faults must be convertible to a view. */
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
  require(report.has_value() || !faults.empty(), "the input was rejected without a reported fault");
}

std::string describe(const std::vector<streams::WorkerEvent>& events) {
  std::string text;
  for (const streams::WorkerEvent& event : events) {
    text += event.run + ' ' + std::to_string(event.index) + ' ' + event.data +
            (event.done ? " done\n" : "\n");
  }
  return text;
}

/** The events must not depend on how the bytes are split into chunks. */
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
  require(describe(events) == describe(bytewise_events),
          "the events depend on how the input is split");
  require(code == bytewise_code, "the result code depends on how the input is split");
}

/** Parses "Name: value" lines as the headers of a worker's answer. */
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
  const bool is_accepted = reading.code == base::ResultCode::Ok;
  require(is_accepted || !reading.fault.empty(), "the input was rejected without a reported fault");
  require(is_accepted || reading.workers.empty(), "a rejected list still contains workers");
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
