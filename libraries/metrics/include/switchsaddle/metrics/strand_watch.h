#pragma once

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
