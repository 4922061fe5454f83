#include "switchsaddle/streams/event_stream_parser.h"

#include <charconv>
#include <utility>

#include "worker_chunk.h"

namespace switchsaddle::streams {

using base::ResultCode;

namespace {

constexpr std::string_view DoneMarker = "[DONE]";
/** The name of an event without an `event` field. */
constexpr std::string_view DefaultEventName = "message";

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

ResultCode EventStreamParser::feed(std::string_view bytes, std::vector<WorkerEvent>& events) {
  while (!bytes.empty() && fault_ == ResultCode::Ok) {
    const std::size_t end = bytes.find('\n');
    const std::string_view segment = bytes.substr(0, end);
    if (line_.size() + data_.size() + segment.size() > maximum_event_bytes_) {
      fault_ = ResultCode::StreamBroken;
      break;
    }
    line_ += segment;
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    const std::string line = std::exchange(line_, {});
    fault_ = parseLine(line, events);
  }
  return fault_;
}

ResultCode EventStreamParser::parseLine(std::string_view line, std::vector<WorkerEvent>& events) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return endEvent(events);
  }
  const std::size_t colon = line.find(':');
  const bool is_comment = colon == 0;
  if (is_comment) {
    return ResultCode::Ok;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
  }
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return parseField(name, value);
}

ResultCode EventStreamParser::parseField(std::string_view name, std::string_view value) {
  if (name == "id") {
    id_ = parseNumber(value);
    return id_ ? ResultCode::Ok : ResultCode::StreamBroken;
  }
  if (name == "event") {
    event_name_ = value;
  }
  if (name == "data") {
    if (has_data_) {
      data_ += '\n';
    }
    data_ += value;
    has_data_ = true;
  }
  return ResultCode::Ok;
}

ResultCode EventStreamParser::endEvent(std::vector<WorkerEvent>& events) {
  WorkerEvent event;
  event.data = std::exchange(data_, {});
  const bool has_data = std::exchange(has_data_, false);
  const std::string event_name = std::exchange(event_name_, {});
  const std::optional<std::uint64_t> id = std::exchange(id_, std::nullopt);
  const bool is_empty = !has_data && event_name.empty() && !id;
  if (is_empty) {
    return ResultCode::Ok;
  }
  const bool is_message = event_name.empty() || event_name == DefaultEventName;
  if (!is_message || !has_data || !id) {
    return ResultCode::StreamBroken;
  }
  event.index = *id;
  event.run = run_;
  event.done = event.data == DoneMarker;
  if (!event.done && readData(event) != ResultCode::Ok) {
    return ResultCode::StreamBroken;
  }
  events.push_back(std::move(event));
  return ResultCode::Ok;
}

ResultCode EventStreamParser::readData(WorkerEvent& event) {
  const std::optional<WorkerChunk> chunk = parseWorkerChunk(event.data);
  if (!chunk) {
    return ResultCode::StreamBroken;
  }
  if (chunk->run) {
    event.run = *chunk->run;
    if (run_.empty()) {
      run_ = event.run;
    }
  }
  event.tokens = static_cast<std::uint32_t>(chunk->tokens.value_or(1));
  const bool is_consistent = chunk->index.value_or(event.index) == event.index;
  return !event.run.empty() && is_consistent ? ResultCode::Ok : ResultCode::StreamBroken;
}

}  // namespace switchsaddle::streams
