#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/sequence_checker.h"

namespace switchsaddle::streams {

/**
 * Incremental parser of a worker's text/event-stream body. Bytes come in pieces of any size; each
 * event that has been ended by an empty line is handed out once. Memory is bounded by the longest
 * event. An event cut off by the end of the body is never handed out. After a fault every further
 * call answers StreamBroken.
 */
class EventStreamParser {
 public:
  static constexpr std::size_t DefaultMaximumEventBytes = 1U << 20U;

  explicit EventStreamParser(std::size_t maximum_event_bytes = DefaultMaximumEventBytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  /** The run named by the response header; events which name none belong to it. */
  void setRun(const std::string& run) { run_ = run; }

  /**
   * Takes the next bytes of the body and appends the events completed by them. StreamBroken where
   * an event has no number, is not JSON, contradicts itself, is the worker's own error or is too
   * long; the events before it have been appended then.
   */
  base::ResultCode feed(std::string_view bytes, std::vector<WorkerEvent>& events);

 private:
  bool parseLine(std::string_view line, std::vector<WorkerEvent>& events);
  bool parseField(std::string_view name, std::string_view value);
  bool endEvent(std::vector<WorkerEvent>& events);
  bool readChunk(WorkerEvent& event);

  std::size_t maximum_event_bytes_;
  std::string run_;
  std::string line_;
  std::string data_;
  std::string event_name_;
  std::optional<std::uint64_t> id_;
  bool has_data_ = false;
  bool broken_ = false;
};

}  // namespace switchsaddle::streams
