#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/dissemination/configuration_replica.h"
#include "switchsaddle/transport/peer_calls.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::core {

/** Backoff of the pusher. */
struct PushOptions {
  /** Delay before a version is pushed to a front again; doubles with each further push. */
  base::Duration initial_backoff = std::chrono::milliseconds(100);
  base::Duration maximum_backoff = std::chrono::milliseconds(800);
};

/**
 * Pushes the configuration to fronts whose sessions report an older version, with exponential
 * backoff for each front. Runs on the control strand.
 */
class ConfigurationPusher {
 public:
  ConfigurationPusher(base::Dispatcher& dispatcher, transport::PeerCalls& calls,
                      const dissemination::ConfigurationReplica& replica, PushOptions options = {})
      : dispatcher_(dispatcher), calls_(calls), replica_(replica), options_(options) {}

  /** Pushes the replica's version to the fronts of these sessions that lack it. */
  void push(const std::vector<wire::SessionTableEntry>& sessions);
  /** Pushes a delta to the fronts of all these sessions, regardless of their backoff. */
  void pushDelta(const wire::ConfigurationDelta& delta,
                 const std::vector<wire::SessionTableEntry>& sessions);

 private:
  /** The last push to one front. */
  struct Push {
    std::uint64_t version = 0;
    base::TimePoint pushed_at;
    base::Duration backoff;
  };

  /**
   * Starts the front's next backoff, unless its last push of the same version is still in backoff.
   *
   * @return whether to push the replica's version now.
   */
  bool startPush(const base::NodeAddress& front, base::TimePoint now);

  base::Dispatcher& dispatcher_;
  transport::PeerCalls& calls_;
  const dissemination::ConfigurationReplica& replica_;
  PushOptions options_;
  std::map<base::NodeAddress, Push> pushes_;
};

}  // namespace switchsaddle::core
