#pragma once

#include <functional>
#include <set>

#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** What the members answered to an acceptor set. */
struct SetInstallResult {
  /** Whether majorities of both lists of the counted set have it, or a newer one, synced. */
  bool quorum = false;
  /** The newest set that any member answered with. */
  wire::AcceptorSet newest;
  /** Instances that have it, or a newer one, synced. */
  std::set<std::uint64_t> synced;
};

/**
 * Sends `set` to every member of `counted`, and calls back once all have answered or timed out. The
 * calls keep what they need alive; the caller guards its callback.
 */
void installAtMembers(transport::PeerCalls& calls, const wire::AcceptorSet& set,
                      const wire::AcceptorSet& counted, base::Duration timeout,
                      const std::function<void(const SetInstallResult&)>& callback);

}  // namespace switchsaddle::registers
