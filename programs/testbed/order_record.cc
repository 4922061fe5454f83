#include "order_record.h"

#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/records/order_event.h"
#include "switchsaddle/transport/system_boot_clock.h"

namespace switchsaddle::testbed_commands {

void OrderRecord::note(const std::string& event, const std::string& subject,
                       const std::string& detail) {
  testbed::OrderEvent line;
  line.at_ms = base::toMilliseconds(transport::SystemBootClock::now().time_since_epoch());
  line.event = event;
  line.subject = subject;
  line.detail = detail;
  file_.append(testbed::toJsonLine(line));
}

}  // namespace switchsaddle::testbed_commands
