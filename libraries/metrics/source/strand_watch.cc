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
  started_ = true;
  due_ = dispatcher_.now() + PollInterval;
  timer_->enable(PollInterval);
}

void StrandWatch::poll() {
  const base::TimePoint now = dispatcher_.now();
  const base::Duration delay = std::max(base::Duration::zero(), now - due_);
  lateness_.observe(delay);
  recent_[next_recent_] = delay;
  next_recent_ = (next_recent_ + 1) % RecentPolls;
  if (delay >= LateStrand) {
    reportDelay(delay);
  }
  start();
}

base::Duration StrandWatch::recentDelay() const {
  const base::Duration longest = *std::ranges::max_element(recent_);
  const base::Duration overdue = dispatcher_.now() - due_;
  return started_ ? longest + std::max(base::Duration::zero(), overdue) : longest;
}

void StrandWatch::reportDelay(base::Duration delay) {
  base::Incident incident;
  incident.event = "strand-late";
  incident.severity = base::Severity::Warning;
  incident.fields = {{"late_ms", std::to_string(base::toMilliseconds(delay))}};
  incidents_.report(incident);
}

}  // namespace switchsaddle::metrics
