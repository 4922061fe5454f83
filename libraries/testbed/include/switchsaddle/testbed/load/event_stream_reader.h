#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::testbed {

/** One event of a text/event-stream. */
struct StreamEvent {
  std::string id;
  /** Empty for an ordinary message. */
  std::string event;
  std::string data;
};

/** Parses a text/event-stream into events; its bytes may arrive in blocks of any size.
 */
class EventStreamReader {
 public:
  /** Returns the events that these bytes complete. */
  std::vector<StreamEvent> feed(std::string_view bytes);
  /** Whether an incomplete event is buffered. */
  bool partial() const { return !line_.empty() || started_; }

 private:
  void parseLine(std::vector<StreamEvent>& events);

  std::string line_;
  StreamEvent event_;
  bool started_ = false;
};

}  // namespace switchsaddle::testbed
