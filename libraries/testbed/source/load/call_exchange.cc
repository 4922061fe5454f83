#include "switchsaddle/testbed/load/call_exchange.h"

#include <charconv>
#include <utility>

#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

constexpr int Success = 200;
constexpr std::string_view StreamEnd = "[DONE]";

/** Parses a decimal number; returns the fallback if the text has none. */
std::int64_t toNumber(std::string_view text, std::int64_t fallback) {
  std::int64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

void CallRecorder::record(CallEvent event) const {
  event.at_ms = base::toMilliseconds(dispatcher.now().time_since_epoch());
  sink.append(event);
}

CallExchange::CallExchange(CallRecorder recorder, const CallEvent& sent, Ended ended)
    : recorder_(recorder), ended_(std::move(ended)) {
  answer_.call = sent.call;
  answer_.kind = sent.kind;
  answer_.event = "answer";
}

void CallExchange::onResponseHead(const http::Response& head) {
  answer_.status = head.status;
  answer_.run = head.header("Run");
  answer_.cached_tokens = static_cast<std::uint64_t>(toNumber(head.header("Cached-Tokens"), 0));
  streaming_ = head.status == Success && answer_.kind == "stream";
  CallEvent event = answer_;
  event.event = "head";
  recorder_.record(event);
}

void CallExchange::onBodyBytes(std::string bytes, std::function<void()> resume) {
  if (streaming_) {
    for (const StreamEvent& event : reader_.feed(bytes)) {
      onEvent(event);
    }
  } else {
    body_ += bytes;
  }
  resume();
}

void CallExchange::onEvent(const StreamEvent& event) {
  if (event.event == "error") {
    error_seen_ = true;
    readOutcome(event.data);
  } else if (event.data == StreamEnd) {
    done_seen_ = true;
  } else {
    onChunk(event);
  }
}

void CallExchange::onChunk(const StreamEvent& event) {
  CallEvent chunk;
  chunk.event = "piece";
  chunk.call = answer_.call;
  chunk.index = toNumber(event.id, -1);
  try {
    chunk.run = textField(parseObject(event.data), "run", answer_.run);
  } catch (const base::Error&) {
    chunk.run = "unreadable";
  }
  recorder_.record(chunk);
}

void CallExchange::readOutcome(const std::string& text) {
  try {
    const auto object = parseObject(text);
    const auto error = objectField(object, "error");
    answer_.outcome = textField(object, "outcome");
    if (answer_.outcome.empty()) {
      answer_.outcome = textField(error, "outcome");
    }
    answer_.code = static_cast<int>(integerField(object, "code"));
    if (answer_.code == 0) {
      answer_.code = static_cast<int>(integerField(error, "code"));
    }
  } catch (const base::Error&) {
    answer_.outcome.clear();
  }
}

void CallExchange::onComplete() {
  if (streaming_) {
    const char* without_end = error_seen_ ? call_end::Error : call_end::Truncated;
    answer(done_seen_ && !error_seen_ ? call_end::Done : without_end);
    return;
  }
  readOutcome(body_);
  answer(answer_.status == Success ? call_end::Done : call_end::Refused);
}

void CallExchange::onFailure(http::ExchangeFailure failure, bool) {
  if (streaming_ && error_seen_) {
    answer(call_end::Error);
  } else if (failure == http::ExchangeFailure::NotConnected) {
    answer(call_end::NotConnected);
  } else if (failure == http::ExchangeFailure::BodyTruncated) {
    answer(call_end::Cut);
  } else {
    answer(call_end::Lost);
  }
}

void CallExchange::answer(const std::string& end) {
  if (std::exchange(answered_, true)) {
    return;
  }
  answer_.end = end;
  recorder_.record(answer_);
  ended_(answer_);
}

}  // namespace switchsaddle::testbed
