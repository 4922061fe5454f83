#include "switchsaddle/core/membership/shortfall_monitor.h"

namespace switchsaddle::core {

void ShortfallMonitor::reset() {
  short_since_.reset();
  reported_ = false;
}

std::optional<SpreadShortfall> ShortfallMonitor::update(SpreadShortfall shortfall,
                                                        base::TimePoint now) {
  if (shortfall == SpreadShortfall::None) {
    short_since_.reset();
  } else if (!short_since_) {
    short_since_ = now;
  }
  const bool lasting = short_since_ && now - *short_since_ >= report_delay_;
  const bool has_ended = shortfall == SpreadShortfall::None && reported_;
  if ((lasting && !reported_) || has_ended) {
    reported_ = lasting;
    return shortfall;
  }
  return std::nullopt;
}

}  // namespace switchsaddle::core
