#pragma once

#include <optional>

#include "switchsaddle/base/time.h"
#include "switchsaddle/core/membership/member_spread.h"

namespace switchsaddle::core {

/**
 * Decides when a shortfall of the acceptor set is reported: once when it has lasted for the delay,
 * and once when it has ended. Runs on the control strand.
 */
class ShortfallMonitor {
 public:
  explicit ShortfallMonitor(base::Duration report_delay) : report_delay_(report_delay) {}

  void reset();
  /** @return the shortfall to report now, None for the end of a reported shortfall, or std::nullopt
   * if there is nothing to report. */
  std::optional<SpreadShortfall> update(SpreadShortfall shortfall, base::TimePoint now);

 private:
  base::Duration report_delay_;
  std::optional<base::TimePoint> short_since_;
  bool reported_ = false;
};

}  // namespace switchsaddle::core
