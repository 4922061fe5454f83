#pragma once

#include <array>
#include <cstddef>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/metrics/histogram.h"

namespace switchsaddle::metrics {

/**
 * Measures the scheduling delay of the control strand: the time between the due time of a timer and
 * its callback. Reports each delay of at least LateStrand as the incident `strand-late`. Runs on
 * that strand.
 */
class StrandWatch {
 public:
  /** Minimum delay with which session renewals and peer requests may exceed their time-outs. */
  static constexpr base::Duration LateStrand = std::chrono::milliseconds(150);

  StrandWatch(base::Dispatcher& dispatcher, base::IncidentSink& incidents);

  void start();
  /** @return the delays of all polls. */
  const Histogram& lateness() const { return lateness_; }
  /**
   * @return the longest time for which input that is handled now may have waited unread, to within
   *     a poll interval: the longest recent delay, and the present one if a poll is overdue.
   */
  base::Duration recentDelay() const;

 private:
  /** Polls whose delays are recent, long enough to work off the input that had to wait. */
  static constexpr std::size_t RecentPolls = 4;

  void poll();
  void reportDelay(base::Duration delay);

  base::Dispatcher& dispatcher_;
  base::IncidentSink& incidents_;
  base::TimerPtr timer_;
  base::TimePoint due_;
  Histogram lateness_;
  std::array<base::Duration, RecentPolls> recent_{};
  std::size_t next_recent_ = 0;
  bool started_ = false;
};

}  // namespace switchsaddle::metrics
