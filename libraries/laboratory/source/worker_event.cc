#include "switchsaddle/laboratory/worker_event.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/json.hpp>

#include "switchsaddle/base/error.h"
#include "switchsaddle/laboratory/json_fields.h"

namespace switchsaddle::laboratory {

std::string toJsonLine(const WorkerEvent& event) {
  return boost::json::serialize(boost::json::object{{"at_ms", event.at_ms},
                                                    {"event", event.event},
                                                    {"kind", event.kind},
                                                    {"run", event.run},
                                                    {"idempotency_key", event.idempotency_key},
                                                    {"tenant", event.tenant},
                                                    {"model", event.model},
                                                    {"cached_tokens", event.cached_tokens},
                                                    {"request_id", event.request_id},
                                                    {"pieces", event.pieces}});
}

WorkerEvent parseWorkerEvent(const std::string& line) {
  const boost::json::object object = parseObject(line);
  WorkerEvent event;
  event.at_ms = integerField(object, "at_ms");
  event.event = textField(object, "event");
  event.kind = textField(object, "kind");
  event.run = textField(object, "run");
  event.idempotency_key = textField(object, "idempotency_key");
  event.tenant = textField(object, "tenant");
  event.model = textField(object, "model");
  event.cached_tokens = static_cast<std::uint64_t>(integerField(object, "cached_tokens"));
  event.request_id = textField(object, "request_id");
  event.pieces = static_cast<std::uint64_t>(integerField(object, "pieces"));
  return event;
}

FileEventSink::FileEventSink(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
  if (file_ < 0) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot open journal " + path);
  }
}

FileEventSink::~FileEventSink() {
  ::close(file_);
}

void FileEventSink::append(const WorkerEvent& event) {
  const std::string line = toJsonLine(event) + "\n";
  const ssize_t written = ::write(file_, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot append to the journal");
  }
}

std::vector<WorkerEvent> readWorkerEvents(const std::string& path) {
  std::vector<WorkerEvent> events;
  for (const std::string& line : readCompleteLines(path)) {
    events.push_back(parseWorkerEvent(line));
  }
  return events;
}

}  // namespace switchsaddle::laboratory
