#include "switchsaddle/core/membership/stalled_change_monitor.h"

#include <string>

namespace switchsaddle::core {

namespace {

constexpr base::Duration CheckInterval = std::chrono::milliseconds(500);

}  // namespace

StalledChangeMonitor::StalledChangeMonitor(base::Dispatcher& dispatcher,
                                           base::IncidentSink& incidents,
                                           const registers::Acceptor& acceptor,
                                           registers::AcceptorSetChange& change)
    : dispatcher_(dispatcher),
      incidents_(incidents),
      acceptor_(acceptor),
      change_(change),
      timer_(dispatcher.createTimer([this] { check(); })) {}

void StalledChangeMonitor::start() {
  since_ = dispatcher_.now();
  timer_->enable(CheckInterval);
}

void StalledChangeMonitor::stop() {
  timer_->disable();
}

void StalledChangeMonitor::check() {
  timer_->enable(CheckInterval);
  const wire::AcceptorSet& set = acceptor_.acceptorSet();
  const base::TimePoint now = dispatcher_.now();
  const bool is_joint = !set.previous.empty();
  if (!is_joint || set.epoch != epoch_ || change_.active()) {
    epoch_ = set.epoch;
    since_ = now;
    return;
  }
  if (acceptor_.mayVote() && now - since_ >= StalledTime) {
    since_ = now;
    resume(set.epoch);
  }
}

void StalledChangeMonitor::resume(std::uint64_t epoch) {
  base::Incident incident;
  incident.event = "set-change-stalled";
  incident.severity = base::Severity::Warning;
  incident.fields = {{"epoch", std::to_string(epoch)}};
  incidents_.report(incident);
  change_.resume([](base::ResultCode) {});
}

}  // namespace switchsaddle::core
