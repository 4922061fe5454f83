#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/core/configuration/configuration_pusher.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/sessions/session_directory.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::core {

/** Intervals of the tracker's readings of the session tables. */
struct InForceOptions {
  /** Minimum interval between two polls of the session tables. */
  base::Duration reading_interval = std::chrono::milliseconds(10);
  /**
   * Maximum interval between two polls; the interval is twice the duration of the last reading.
   * Also the maximum time for which only the local table is polled while it shows lagging fronts.
   */
  base::Duration maximum_reading_interval = std::chrono::milliseconds(200);
  PushOptions push;
};

/** The result of waiting for a version, by the last reading that counted for it. */
struct InForceOutcome {
  bool in_force = false;
  /** Readings to which a majority replied. */
  std::size_t readings = 0;
  /** Live sessions with an older version. */
  std::size_t lagging = 0;
  /** The front of one of these sessions; empty if there is none. */
  base::NodeAddress first_lagging;
};

/**
 * Pushes the committed configuration to the fronts with live sessions, and determines when a
 * version is in force: each front has confirmed it, or its session has expired.
 *
 * Invariant: a reading of a majority's session tables counts for a pending version only if it began
 * after the wait did. Every front that may still serve by an older version is then among the
 * sessions read. One reading counts for all pending versions. While the local table shows lagging
 * fronts, the peers' tables are rarely read. Runs on the control strand.
 */
class InForceTracker {
 public:
  using Callback = std::function<void(const InForceOutcome&)>;

  InForceTracker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                 sessions::SessionDirectory& sessions,
                 const dissemination::ConfigurationReplica& replica, InForceOptions options = {});
  InForceTracker(const InForceTracker&) = delete;
  InForceTracker& operator=(const InForceTracker&) = delete;

  /**
   * Waits until `version` is in force.
   *
   * @param callback called once, at the latest at `deadline`.
   */
  void wait(std::uint64_t version, base::TimePoint deadline, Callback callback);
  /** Pushes the replica's version to the fronts in the local session table with an older version.
   */
  void pushToLocalSessions();
  /**
   * Pushes a committed delta to the fronts before it is applied to the local replica, which saves
   * them that time.
   */
  void pushCommitted(const wire::ConfigurationDelta& delta);

 private:
  /** A version that some caller waits for. */
  struct PendingVersion {
    std::uint64_t version = 0;
    /** Number of the first reading that counts. */
    std::uint64_t first_reading = 0;
    InForceOutcome outcome;
    Callback callback;
    base::TimerPtr deadline_timer;
  };

  /** Starts a reading, or retries later if the local table shows lagging fronts. */
  void startReadingIfDue();
  /**
   * Pushes to the fronts in the local table with a version older than the newest pending one.
   *
   * @return whether some of them have a version older than the oldest pending one.
   */
  bool pushToLocalLagging();
  std::uint64_t newestPending() const;
  std::uint64_t oldestPending() const;
  void startReading();
  void onReading(base::ResultCode code, const std::vector<wire::SessionTableEntry>& sessions);
  void applyReading(const std::vector<wire::SessionTableEntry>& sessions);
  /** @return whether the pending version is in force according to these sessions. */
  static bool updateOutcome(PendingVersion& pending,
                            const std::vector<wire::SessionTableEntry>& sessions);
  void finish(std::uint64_t id);

  base::Dispatcher& dispatcher_;
  sessions::SessionDirectory& sessions_;
  const dissemination::ConfigurationReplica& replica_;
  InForceOptions options_;
  ConfigurationPusher pusher_;
  base::TimerPtr reading_timer_;
  /** Whether a reading is in progress. */
  bool reading_ = false;
  base::TimePoint reading_began_at_;
  /** When the last reading began, or the first of the pending versions was added. */
  base::TimePoint last_reading_at_;
  /** Number of the newest reading. */
  std::uint64_t reading_number_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingVersion> pending_;
  base::CallbackScope callbacks_;
};

}  // namespace switchsaddle::core
