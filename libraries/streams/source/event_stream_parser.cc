#include "switchsaddle/streams/event_stream_parser.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace switchsaddle::streams {

namespace {

constexpr std::string_view DoneMarker = "[DONE]";

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/** A member as an unsigned number; `valid` turns false where it is there but no such number. */
std::optional<std::uint64_t> readNumber(const boost::json::object& object, std::string_view name,
                                        bool& valid) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code fault;
  const auto number = value->to_number<std::uint64_t>(fault);
  if (fault) {
    valid = false;
    return std::nullopt;
  }
  return number;
}

}  // namespace

base::ResultCode EventStreamParser::feed(std::string_view bytes, std::vector<WorkerEvent>& events) {
  while (!bytes.empty() && !broken_) {
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    if (line_.size() + data_.size() + part.size() > maximum_event_bytes_) {
      broken_ = true;
      break;
    }
    line_ += part;
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    const std::string line = std::exchange(line_, {});
    broken_ = !parseLine(line, events);
  }
  return broken_ ? base::ResultCode::StreamBroken : base::ResultCode::Ok;
}

bool EventStreamParser::parseLine(std::string_view line, std::vector<WorkerEvent>& events) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return endEvent(events);
  }
  const std::size_t colon = line.find(':');
  if (colon == 0) {
    return true;
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

bool EventStreamParser::parseField(std::string_view name, std::string_view value) {
  if (name == "id") {
    id_ = parseNumber(value);
    return id_.has_value();
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
  return true;
}

bool EventStreamParser::endEvent(std::vector<WorkerEvent>& events) {
  WorkerEvent event;
  event.data = std::exchange(data_, {});
  const bool has_data = std::exchange(has_data_, false);
  const std::string event_name = std::exchange(event_name_, {});
  const std::optional<std::uint64_t> id = std::exchange(id_, std::nullopt);
  if (!has_data && event_name.empty() && !id) {
    return true;
  }
  const bool named = !event_name.empty() && event_name != "message";
  if (named || !has_data || !id) {
    return false;
  }
  event.index = *id;
  event.run = run_;
  event.done = event.data == DoneMarker;
  if (!event.done && !readChunk(event)) {
    return false;
  }
  events.push_back(std::move(event));
  return true;
}

bool EventStreamParser::readChunk(WorkerEvent& event) {
  boost::system::error_code fault;
  const boost::json::value value = boost::json::parse(event.data, fault);
  if (fault || !value.is_object()) {
    return false;
  }
  const boost::json::object& chunk = value.get_object();
  if (const boost::json::value* run = chunk.if_contains("run")) {
    if (!run->is_string()) {
      return false;
    }
    event.run = std::string(run->get_string());
    if (run_.empty()) {
      run_ = event.run;
    }
  }
  bool valid = !event.run.empty();
  const std::optional<std::uint64_t> index = readNumber(chunk, "index", valid);
  event.tokens = static_cast<std::uint32_t>(readNumber(chunk, "tokens", valid).value_or(1));
  return valid && index.value_or(event.index) == event.index;
}

}  // namespace switchsaddle::streams
