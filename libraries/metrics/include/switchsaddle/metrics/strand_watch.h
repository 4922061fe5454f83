#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/metrics/histogram.h"

namespace switchsaddle::metrics {

/**
 * Measures how late the control strand runs its timers: work that waits for the strand waits as
 * long. Each delay above LateStrand is reported as the event `strand-late`. Runs on that strand.
 */
class StrandWatch {
 public:
  /** Delay from which renewals and rounds between nodes may miss their time-outs. */
  static constexpr base::Duration LateStrand = std::chrono::milliseconds(150);

  StrandWatch(base::Dispatcher& dispatcher, base::IncidentSink& incidents);

  void start();
  const Histogram& lateness() const { return lateness_; }

 private:
  void poll();

  base::Dispatcher& dispatcher_;
  base::IncidentSink& incidents_;
  base::TimerPtr timer_;
  base::TimePoint due_;
  Histogram lateness_;
};

}  // namespace switchsaddle::metrics
