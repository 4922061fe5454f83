#pragma once

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** The state's name in logs, metrics and pages, such as "serving". */
std::string_view sessionStateName(sessions::SessionState state);

/**
 * Tells the operator when a front's session lapses and when it serves again. Looks at the session
 * each 100 ms, since a session lapses by the clock alone. Runs on the control strand.
 */
class SessionMonitor {
 public:
  SessionMonitor(base::Dispatcher& dispatcher, const sessions::SessionClient& session,
                 base::IncidentSink& incidents);

  void start();
  /** A session closed in order is not told. */
  void stop() { timer_->disable(); }

 private:
  void poll();

  base::Dispatcher& dispatcher_;
  const sessions::SessionClient& session_;
  base::IncidentSink& incidents_;
  /** The last state told. */
  sessions::SessionState reported_ = sessions::SessionState::Lapsed;
  base::TimePoint reported_at_;
  base::TimerPtr timer_;
};

}  // namespace switchsaddle::front
