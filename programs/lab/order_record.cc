#include "order_record.h"

#include "switchsaddle/base/time.h"
#include "switchsaddle/laboratory/order_event.h"
#include "switchsaddle/transport/system_boot_clock.h"

namespace switchsaddle::lab {

void OrderRecord::note(const std::string& event, const std::string& subject,
                       const std::string& detail) {
  laboratory::OrderEvent line;
  line.at_ms = base::toMilliseconds(transport::SystemBootClock::now().time_since_epoch());
  line.event = event;
  line.subject = subject;
  line.detail = detail;
  file_.append(laboratory::toJsonLine(line));
}

}  // namespace switchsaddle::lab
