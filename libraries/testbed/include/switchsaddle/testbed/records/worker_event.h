#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/testbed/records/line_file.h"

namespace switchsaddle::testbed {

/** The events of a worker's journal. */
namespace worker_event {
/** The process started. */
inline constexpr const char* Up = "up";
/** A run started. */
inline constexpr const char* Start = "start";
/** The worker finished a run. */
inline constexpr const char* End = "end";
/** A run was cancelled because its caller disconnected or a fault was injected. */
inline constexpr const char* Cancelled = "cancelled";
/** A request was refused before it ran. */
inline constexpr const char* Refused = "refused";
/** A request was queued until a slot is free. */
inline constexpr const char* Queued = "queued";
}  // namespace worker_event

/** One line of a worker's journal: what it did, whether or not the caller learned of it. */
struct WorkerEvent {
  /** Boot clock, milliseconds. */
  std::int64_t at_ms = 0;
  /** One of worker_event. */
  std::string event;
  /** "stream", "one-shot", "prefill" or, for "up", "process". */
  std::string kind;
  std::string run;
  std::string idempotency_key;
  std::string tenant;
  std::string model;
  std::uint64_t cached_tokens = 0;
  /** The id of the request to the worker; a front may give each attempt its own id. */
  std::string request_id;
  /** The caller's id, from the Caller-Request-Id header; request_id if the header is absent. */
  std::string caller_request_id;
  /** Number of chunks sent; set for "end" and "cancelled" of a stream. */
  std::uint64_t chunks = 0;
};

/** The event as one line of JSON without the line end. */
std::string toJsonLine(const WorkerEvent& event);
/** Throws base::Error with MalformedJson or InvalidValue. */
WorkerEvent parseWorkerEvent(const std::string& line);

/** Receives the events of a worker. */
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void append(const WorkerEvent& event) = 0;
};

/** Appends each event to a file as one line. */
class FileEventSink : public EventSink {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit FileEventSink(const std::string& path) : file_(path) {}
  void append(const WorkerEvent& event) override { file_.append(toJsonLine(event)); }

 private:
  LineFile file_;
};

/** All events of a journal file; an incomplete last line is ignored. */
std::vector<WorkerEvent> readWorkerEvents(const std::string& path);

}  // namespace switchsaddle::testbed
