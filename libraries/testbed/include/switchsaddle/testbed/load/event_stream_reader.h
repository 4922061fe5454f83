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

/** Splits the bytes of a text/event-stream, however they are cut, into events. */
class EventStreamReader {
 public:
  /** The events which these bytes complete. */
  std::vector<StreamEvent> feed(std::string_view bytes);
  /** Whether bytes of an incomplete event are left. */
  bool partial() const { return !line_.empty() || started_; }

 private:
  void parseLine(std::vector<StreamEvent>& events);

  std::string line_;
  StreamEvent event_;
  bool started_ = false;
};

}  // namespace switchsaddle::testbed
