#pragma once

#include <cstdint>
#include <optional>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/sessions/core_view.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::sessions {

/**
 * Decides whether this core may record sessions, and whether its table counts in majority reads. A
 * core that was not eligible to record sessions may have missed records, and is recovering for one
 * core limit. Runs on the control strand.
 */
class RecordingEligibility {
 public:
  RecordingEligibility(const base::Dispatcher& dispatcher, const CoreView& view,
                       base::Duration core_limit, SessionTableFaults faults);

  /** Checks the acceptor. Must be called often enough to detect each interval in which it may not
   * vote. */
  void update();
  /** Whether sessions granted before may be missing from this core's table. */
  bool recovering();
  /** Whether this core counts majorities in the acceptor set of this epoch. */
  bool isCurrentEpoch(std::uint64_t set_epoch) const;

 private:
  const base::Dispatcher& dispatcher_;
  const CoreView& view_;
  base::Duration core_limit_;
  SessionTableFaults faults_;
  /** Since when this incarnation has recorded every session; std::nullopt while it may not vote or
   * is joining. */
  std::optional<base::TimePoint> eligible_since_;
};

}  // namespace switchsaddle::sessions
