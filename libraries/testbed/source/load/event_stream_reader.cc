#include "switchsaddle/testbed/load/event_stream_reader.h"

#include <utility>

namespace switchsaddle::testbed {

std::vector<StreamEvent> EventStreamReader::feed(std::string_view bytes) {
  std::vector<StreamEvent> events;
  for (const char byte : bytes) {
    if (byte == '\n') {
      parseLine(events);
    } else if (byte != '\r') {
      line_ += byte;
    }
  }
  return events;
}

void EventStreamReader::parseLine(std::vector<StreamEvent>& events) {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    if (started_) {
      events.push_back(std::exchange(event_, {}));
    }
    started_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string name = line.substr(0, colon);
  std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.erase(0, 1);
  }
  if (name == "id") {
    event_.id = std::move(value);
  } else if (name == "event") {
    event_.event = std::move(value);
  } else if (name == "data") {
    event_.data += (event_.data.empty() ? "" : "\n") + value;
  } else {
    return;
  }
  started_ = true;
}

}  // namespace switchsaddle::testbed
