#include "switchsaddle/metrics/strand_watch.h"

#include <algorithm>
#include <string>

namespace switchsaddle::metrics {

namespace {

constexpr base::Duration PollInterval = std::chrono::milliseconds(250);

}  // namespace

StrandWatch::StrandWatch(base::Dispatcher& dispatcher, base::IncidentSink& incidents)
    : dispatcher_(dispatcher),
      incidents_(incidents),
      timer_(dispatcher.createTimer([this] { poll(); })),
      lateness_(roundTripBounds()) {}

void StrandWatch::start() {
  due_ = dispatcher_.now() + PollInterval;
  timer_->enable(PollInterval);
}

void StrandWatch::poll() {
  const base::TimePoint now = dispatcher_.now();
  const base::Duration delay = std::max(base::Duration::zero(), now - due_);
  lateness_.observe(delay);
  if (delay >= LateStrand) {
    reportDelay(delay);
  }
  start();
}

void StrandWatch::reportDelay(base::Duration delay) {
  base::Incident incident;
  incident.event = "strand-late";
  incident.severity = base::Severity::Warning;
  incident.fields = {{"late_ms", std::to_string(base::toMilliseconds(delay))}};
  incidents_.report(incident);
}

}  // namespace switchsaddle::metrics
