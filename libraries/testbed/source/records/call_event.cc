#include "switchsaddle/testbed/records/call_event.h"

#include <boost/json.hpp>

#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {
namespace {

void putText(boost::json::object& object, const char* name, const std::string& value) {
  if (!value.empty()) {
    object[name] = value;
  }
}

}  // namespace

std::string toJsonLine(const CallEvent& event) {
  boost::json::object object{{"at_ms", event.at_ms}, {"event", event.event}, {"call", event.call}};
  putText(object, "kind", event.kind);
  putText(object, "request_id", event.request_id);
  putText(object, "idempotency_key", event.idempotency_key);
  putText(object, "tenant", event.tenant);
  putText(object, "model", event.model);
  putText(object, "target", event.target);
  putText(object, "run", event.run);
  putText(object, "outcome", event.outcome);
  putText(object, "end", event.end);
  if (event.index >= 0) {
    object["index"] = event.index;
  }
  if (event.status != 0) {
    object["status"] = event.status;
  }
  if (event.code != 0) {
    object["code"] = event.code;
  }
  if (event.cached_tokens != 0) {
    object["cached_tokens"] = event.cached_tokens;
  }
  return boost::json::serialize(object);
}

CallEvent parseCallEvent(const std::string& line) {
  const boost::json::object object = parseObject(line);
  CallEvent event;
  event.at_ms = integerField(object, "at_ms");
  event.event = textField(object, "event");
  event.call = static_cast<std::uint64_t>(integerField(object, "call"));
  event.kind = textField(object, "kind");
  event.request_id = textField(object, "request_id");
  event.idempotency_key = textField(object, "idempotency_key");
  event.tenant = textField(object, "tenant");
  event.model = textField(object, "model");
  event.target = textField(object, "target");
  event.run = textField(object, "run");
  event.outcome = textField(object, "outcome");
  event.end = textField(object, "end");
  event.index = integerField(object, "index", -1);
  event.status = static_cast<int>(integerField(object, "status"));
  event.code = static_cast<int>(integerField(object, "code"));
  event.cached_tokens = static_cast<std::uint64_t>(integerField(object, "cached_tokens"));
  return event;
}

std::vector<CallEvent> readCallEvents(const std::string& path) {
  std::vector<CallEvent> events;
  for (const std::string& line : readCompleteLines(path)) {
    events.push_back(parseCallEvent(line));
  }
  return events;
}

}  // namespace switchsaddle::testbed
