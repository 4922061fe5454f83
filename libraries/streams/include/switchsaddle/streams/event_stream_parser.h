#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/worker_event.h"

namespace switchsaddle::streams {

/**
 * Incremental parser of a worker's text/event-stream body. Bytes arrive in chunks of any size. Each
 * event is emitted once, when its empty line has been received; an event that the end of the body
 * truncates is never emitted. Memory is bounded by the maximum event size. Invariant: after a fault
 * every further call returns StreamBroken. Runs on its owner's strand.
 */
class EventStreamParser {
 public:
  static constexpr std::size_t DefaultMaximumEventBytes = 1U << 20U;

  explicit EventStreamParser(std::size_t maximum_event_bytes = DefaultMaximumEventBytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  /** Sets the run named by the response header; events without a run belong to it. */
  void setRun(const std::string& run) { run_ = run; }

  /**
   * Parses the next bytes of the body and appends the events completed by them.
   *
   * @return StreamBroken if an event has no id, is not JSON, contradicts itself, is an error event
   * of the worker or exceeds the maximum size; the events before it are appended in this case too.
   */
  base::ResultCode feed(std::string_view bytes, std::vector<WorkerEvent>& events);
  /** Size of the incomplete event. */
  std::size_t pendingBytes() const { return line_.size() + data_.size() + event_name_.size(); }

 private:
  base::ResultCode parseLine(std::string_view line, std::vector<WorkerEvent>& events);
  base::ResultCode parseField(std::string_view name, std::string_view value);
  base::ResultCode endEvent(std::vector<WorkerEvent>& events);
  /** Completes the event from its data. If no run is set, sets the run that the data names. */
  base::ResultCode readData(WorkerEvent& event);

  std::size_t maximum_event_bytes_;
  std::string run_;
  /** The incomplete line. */
  std::string line_;
  /** The fields of the incomplete event. */
  std::string data_;
  std::string event_name_;
  std::optional<std::uint64_t> id_;
  bool has_data_ = false;
  base::ResultCode fault_ = base::ResultCode::Ok;
};

}  // namespace switchsaddle::streams
