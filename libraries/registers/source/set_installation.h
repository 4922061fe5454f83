#pragma once

#include <functional>
#include <set>

#include "switchsaddle/transport/peer_calls.h"

namespace switchsaddle::registers {

/** The members' answers to an acceptor set. */
struct SetInstallResult {
  /** Whether majorities of both lists of the counted set have synced it or a newer one. */
  bool quorum = false;
  /** The newest set that any member answered with. */
  wire::AcceptorSet newest;
  /** Instances that have synced it or a newer one. */
  std::set<std::uint64_t> synced;
};

/**
 * Sends an acceptor set to members. The requests continue if the caller is destroyed.
 * @param counted the set whose members receive it and form the quorum.
 * @param callback called once every member has answered or timed out.
 */
void installAtMembers(transport::PeerCalls& calls, const wire::AcceptorSet& set,
                      const wire::AcceptorSet& counted, base::Duration timeout,
                      const std::function<void(const SetInstallResult&)>& callback);

}  // namespace switchsaddle::registers
