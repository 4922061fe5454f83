#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/sessions/session_directory.h"
#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::core {

/** Times of the wait until a version is in force. */
struct InForceOptions {
  /** Pause between two looks at the session tables. */
  base::Duration reading_pause = std::chrono::milliseconds(10);
  /** The same where readings take long: twice as long as the last one took, up to this. Also the
   * longest time for which the own table alone is looked at while it shows fronts behind. */
  base::Duration longest_pause = std::chrono::milliseconds(200);
  /** Pause before a delta is pushed to one front again; doubled with each further push. */
  base::Duration push_pause = std::chrono::milliseconds(100);
  base::Duration longest_push_pause = std::chrono::milliseconds(800);
};

/** How a wait ended, and what the readings that counted for it had shown. */
struct InForceOutcome {
  bool in_force = false;
  /** Readings that a majority answered. */
  std::size_t readings = 0;
  /** Live sessions with an older version at the last of them. */
  std::size_t lagging = 0;
  /** One of these fronts; empty where there is none. */
  base::NodeAddress first_lagging;
};

/**
 * Pushes the committed configuration to the fronts with live sessions, and tells when each of them
 * has confirmed a version or its session has lapsed. Only readings of a majority's tables begun
 * after the wait count, so that every front which could still work by an older version is among
 * those read. One reading serves all waits. While this node's own table shows fronts behind, the
 * others' are seldom asked. Runs on the control strand.
 */
class InForceTracker {
 public:
  using Callback = std::function<void(const InForceOutcome&)>;

  InForceTracker(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                 sessions::SessionDirectory& sessions,
                 const dissemination::ConfigurationReplica& replica, InForceOptions options = {});
  InForceTracker(const InForceTracker&) = delete;
  InForceTracker& operator=(const InForceTracker&) = delete;

  /** Waits until `version` is in force everywhere, at most until `deadline`. */
  void wait(std::uint64_t version, base::TimePoint deadline, Callback callback);
  /** Pushes the configuration held here to the fronts this node knows, where they lack it. */
  void pushToLocalSessions();
  /** Pushes what was just committed, before it is in force at this node: working that out takes
   * time that the fronts need not wait for. */
  void pushCommitted(const wire::ConfigurationDelta& delta);

 private:
  struct Wait {
    std::uint64_t version = 0;
    /** The first reading that counts. */
    std::uint64_t first_reading = 0;
    InForceOutcome seen;
    Callback callback;
    base::TimerPtr deadline;
  };

  /** Reads the tables of a majority, or waits where this node's own shows fronts behind. */
  void poll();
  /** Whether it shows fronts behind the oldest version that is waited for; pushes to those that
   * lack the newest. */
  bool localTableShowsLagging();
  std::uint64_t newestAwaited() const;
  std::uint64_t oldestAwaited() const;
  void startReading();
  void onReading(base::ResultCode code, const std::vector<wire::SessionTableEntry>& sessions);
  void push(const std::vector<wire::SessionTableEntry>& sessions);
  /** Tells a wait what a reading shows; true where its version is in force. */
  static bool see(Wait& wait, const std::vector<wire::SessionTableEntry>& sessions);
  void finish(std::uint64_t wait);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  sessions::SessionDirectory& sessions_;
  const dissemination::ConfigurationReplica& replica_;
  InForceOptions options_;
  base::TimerPtr reading_timer_;
  bool reading_ = false;
  base::TimePoint reading_began_;
  base::TimePoint last_reading_;
  /** Number of the newest reading begun. */
  std::uint64_t reading_number_ = 0;
  std::uint64_t next_wait_ = 1;
  std::map<std::uint64_t, Wait> waits_;
  /** When and which version was last pushed to a front. */
  struct Push {
    std::uint64_t version = 0;
    base::TimePoint at;
    base::Duration pause;
  };
  std::map<base::NodeAddress, Push> pushes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::core
