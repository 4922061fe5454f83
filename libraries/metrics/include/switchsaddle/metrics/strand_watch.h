#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/metrics/histogram.h"

namespace switchsaddle::metrics {

/**
 * Measures the scheduling delay of the control strand: how late its timers fire. Reports each delay
 * from LateStrand on as the incident `strand-late`. Runs on that strand.
 */
class StrandWatch {
 public:
  /** Delay from which session renewals and calls between nodes may miss their time-outs. */
  static constexpr base::Duration LateStrand = std::chrono::milliseconds(150);

  StrandWatch(base::Dispatcher& dispatcher, base::IncidentSink& incidents);

  void start();
  /** @return the delays of all polls. */
  const Histogram& lateness() const { return lateness_; }

 private:
  void poll();
  void reportDelay(base::Duration delay);

  base::Dispatcher& dispatcher_;
  base::IncidentSink& incidents_;
  base::TimerPtr timer_;
  base::TimePoint due_;
  Histogram lateness_;
};

}  // namespace switchsaddle::metrics
