#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** @return the state's name in logs, metrics and pages, such as "serving". */
std::string_view sessionStateName(sessions::SessionState state);

/**
 * Reports each change of the state of a front's session to the operator. Polls the session, since
 * its expiry raises no event: it follows from the clock. Runs on the control strand.
 */
class SessionMonitor {
 public:
  SessionMonitor(base::Dispatcher& dispatcher, const sessions::SessionClient& session,
                 base::IncidentSink& incidents);

  /** Reports the current state if the session is open, and each change from then on. */
  void start();
  /** Ends the reports, so that closing the session is not reported as an expiry. */
  void stop() { timer_->disable(); }

 private:
  void poll();

  base::Dispatcher& dispatcher_;
  const sessions::SessionClient& session_;
  base::IncidentSink& incidents_;
  /** The last state that was reported. */
  sessions::SessionState reported_ = sessions::SessionState::Expired;
  base::TimePoint reported_at_;
  base::TimerPtr timer_;
};

}  // namespace switchsaddle::front
