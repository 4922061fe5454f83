#include "switchsaddle/testbed/records/worker_event.h"

#include <boost/json.hpp>

#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {

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
                                                    {"caller_request_id", event.caller_request_id},
                                                    {"pieces", event.chunks}});
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
  event.caller_request_id = textField(object, "caller_request_id", event.request_id);
  event.chunks = static_cast<std::uint64_t>(integerField(object, "pieces"));
  return event;
}

std::vector<WorkerEvent> readWorkerEvents(const std::string& path) {
  std::vector<WorkerEvent> events;
  for (const std::string& line : readCompleteLines(path)) {
    events.push_back(parseWorkerEvent(line));
  }
  return events;
}

}  // namespace switchsaddle::testbed
