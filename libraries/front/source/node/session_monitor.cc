#include "switchsaddle/front/node/session_monitor.h"

#include <utility>

namespace switchsaddle::front {

namespace {

constexpr base::Duration PollInterval = std::chrono::milliseconds(100);

using sessions::SessionState;

base::Incident incidentOf(SessionState state) {
  base::Incident incident;
  switch (state) {
    case SessionState::Expired:
      incident.event = "session-lapsed";
      incident.severity = base::Severity::Warning;
      incident.code = base::ResultCode::SessionLapsed;
      incident.dumps_ring = true;
      break;
    case SessionState::CatchingUp:
      incident.event = "session-catching-up";
      break;
    case SessionState::Serving:
      incident.event = "session-serving";
      break;
    case SessionState::ServingWithoutCore:
      incident.event = "session-without-core";
      incident.severity = base::Severity::Warning;
      incident.code = base::ResultCode::PeerUnreachable;
      break;
  }
  return incident;
}

}  // namespace

std::string_view sessionStateName(SessionState state) {
  switch (state) {
    case SessionState::Expired:
      return "lapsed";
    case SessionState::CatchingUp:
      return "catching-up";
    case SessionState::Serving:
      return "serving";
    case SessionState::ServingWithoutCore:
      return "serving-without-core";
  }
  return "unknown";
}

SessionMonitor::SessionMonitor(base::Dispatcher& dispatcher, const sessions::SessionClient& session,
                               base::IncidentSink& incidents)
    : dispatcher_(dispatcher),
      session_(session),
      incidents_(incidents),
      timer_(dispatcher.createTimer([this] { poll(); })) {}

void SessionMonitor::start() {
  reported_at_ = dispatcher_.now();
  poll();
}

void SessionMonitor::poll() {
  timer_->enable(PollInterval);
  const SessionState state = session_.state();
  if (state == reported_) {
    return;
  }
  base::Incident incident = incidentOf(state);
  const base::TimePoint now = dispatcher_.now();
  incident.fields = {{"before", std::string(sessionStateName(reported_))},
                     {"for_ms", std::to_string(base::toMilliseconds(now - reported_at_))}};
  reported_ = state;
  reported_at_ = now;
  incidents_.report(incident);
}

}  // namespace switchsaddle::front
