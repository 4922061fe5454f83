#include "request/caller_sinks.h"

#include <optional>
#include <utility>
#include <vector>

#include "request/caller_answers.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::front {

namespace {

/** Maximum size of a completion that is collected for one response. */
constexpr std::size_t MaximumCollectedBytes = 16U << 20U;
constexpr std::string_view DataField = "data: ";

http::Response rejectionAnswer(const StreamRejection& rejection) {
  ErrorDetails details;
  details.outcome = rejection.sent ? Outcome::Unknown : Outcome::NotRun;
  details.retry_after_ms = rejection.retry_after_ms;
  return errorAnswer(rejection.code, details);
}

/** @return the JSON of an event's data, or std::nullopt for "[DONE]". */
std::optional<configuration::JsonValue> eventData(const std::string& event) {
  const std::size_t start = event.find(DataField);
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t from = start + DataField.size();
  const std::string data = event.substr(from, event.find('\n', from) - from);
  std::vector<configuration::Fault> faults;
  return configuration::parseJson(data, configuration::JsonLimits{}, "", faults);
}

}  // namespace

void EventStreamSink::reject(const StreamRejection& rejection) {
  caller_.respond(rejectionAnswer(rejection));
}

void EventStreamSink::setRun(const std::string& run, std::uint32_t cached_tokens) {
  head_.headers.push_back({"Run", run});
  head_.headers.push_back({"Cached-Tokens", std::to_string(cached_tokens)});
}

void EventStreamSink::sendEvent(std::string event, WriteCallback written) {
  if (!started_) {
    started_ = true;
    head_.headers.push_back({"Content-Type", "text/event-stream"});
    head_.headers.push_back({"Cache-Control", "no-cache"});
    caller_.startStream(head_);
  }
  caller_.writeChunk(std::move(event), std::move(written));
}

void EventStreamSink::end(base::ResultCode /*code*/) {
  caller_.endStream();
}

void CollectingSink::reject(const StreamRejection& rejection) {
  writer_->respond(rejectionAnswer(rejection));
}

void CollectingSink::setRun(const std::string& run, std::uint32_t /*cached_tokens*/) {
  run_ = run;
}

void CollectingSink::sendEvent(std::string event, WriteCallback written) {
  const std::optional<configuration::JsonValue> data = eventData(event);
  if (data && data->kind == configuration::JsonKind::Object) {
    text_ += data->textOf("text");
    ++tokens_;
  }
  if (text_.size() <= MaximumCollectedBytes) {
    written(WriteOutcome::Written);
    return;
  }
  writer_->respond(rejectionAnswer({base::ResultCode::StreamBroken, true, 0}));
  written(WriteOutcome::Disconnected);
}

void CollectingSink::end(base::ResultCode code) {
  if (code != base::ResultCode::Ok) {
    writer_->respond(rejectionAnswer({code, true, 0}));
    return;
  }
  configuration::JsonWriter writer;
  writer.beginObject();
  writer.name("id").string(run_);
  writer.name("object").string("chat.completion");
  writer.name("model").string(model_);
  writer.name("run").string(run_);
  writer.name("choices").beginArray().beginObject();
  writer.name("index").integer(0);
  writer.name("message").beginObject();
  writer.name("role").string("assistant");
  writer.name("content").string(text_);
  writer.endObject();
  writer.name("finish_reason").string("stop");
  writer.endObject().endArray();
  writer.name("usage").beginObject();
  writer.name("completion_tokens").unsignedInteger(tokens_);
  writer.endObject();
  writer.endObject();
  writer_->respond(jsonAnswer(writer.text()));
}

}  // namespace switchsaddle::front
