#include "switchsaddle/testbed/records/order_event.h"

#include <boost/json.hpp>

#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed {

std::string toJsonLine(const OrderEvent& event) {
  return boost::json::serialize(boost::json::object{{"at_ms", event.at_ms},
                                                    {"event", event.event},
                                                    {"subject", event.subject},
                                                    {"detail", event.detail}});
}

OrderEvent parseOrderEvent(const std::string& line) {
  const boost::json::object object = parseObject(line);
  OrderEvent event;
  event.at_ms = integerField(object, "at_ms");
  event.event = textField(object, "event");
  event.subject = textField(object, "subject");
  event.detail = textField(object, "detail");
  return event;
}

std::vector<OrderEvent> readOrderEvents(const std::string& path) {
  std::vector<OrderEvent> events;
  for (const std::string& line : readCompleteLines(path)) {
    events.push_back(parseOrderEvent(line));
  }
  return events;
}

}  // namespace switchsaddle::testbed
