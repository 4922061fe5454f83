#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/testbed/records/line_file.h"

namespace switchsaddle::testbed {

/** What a worker's event tells of. */
namespace worker_event {
/** The process starts. */
inline constexpr const char* Up = "up";
/** A run starts. */
inline constexpr const char* Start = "start";
/** The worker finished a run. */
inline constexpr const char* End = "end";
/** A run was given up because its caller had gone or by a fault. */
inline constexpr const char* Cancelled = "cancelled";
/** A request was refused before it ran. */
inline constexpr const char* Refused = "refused";
/** A request waits for a free slot before it runs. */
inline constexpr const char* Queued = "queued";
}  // namespace worker_event

/** One line of a worker's journal: what it ran, whoever was told. */
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
  /** The id of the request to the worker; a router may give each of its attempts one of its own. */
  std::string request_id;
  /** The caller's own id: of the Caller-Request-Id header, or request_id where there was none. */
  std::string caller_request_id;
  /** Pieces sent so far; set on "end" and "cancelled" of a stream. */
  std::uint64_t chunks = 0;
};

/** The event as one line of JSON without the line end. */
std::string toJsonLine(const WorkerEvent& event);
/** Throws base::Error with MalformedJson or InvalidValue. */
WorkerEvent parseWorkerEvent(const std::string& line);

/** Where a worker notes its events. */
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void append(const WorkerEvent& event) = 0;
};

/** Appends each event to a file as a line. */
class FileEventSink : public EventSink {
 public:
  /** Throws base::Error with StorageFailed. */
  explicit FileEventSink(const std::string& path) : file_(path) {}
  void append(const WorkerEvent& event) override { file_.append(toJsonLine(event)); }

 private:
  LineFile file_;
};

/** All events of a journal file; a torn last line is left out. */
std::vector<WorkerEvent> readWorkerEvents(const std::string& path);

}  // namespace switchsaddle::testbed
