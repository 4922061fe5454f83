#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages of leases for singleton roles, granted by a majority of core nodes. The holder counts
 * the duration from the moment it sends the request, the granter from receipt; the holder's lease
 * therefore expires first, whatever the delay.
 */

namespace switchsaddle::wire {

/** Candidate or holder to granter: acquires or renews a lease. */
struct LeaseRequest {
  /** Name of the singleton role. */
  std::string name;
  base::NodeAddress holder;
  /** Random instance id of the holder's process. */
  std::uint64_t holder_instance = 0;
  /** Fencing token: above every term that the candidate has seen; unchanged on renewal. */
  std::uint64_t term = 0;
  std::uint32_t duration_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, holder, holder_instance, term, duration_ms);
  }
};

/** Granter to candidate: the vote, and the lease as the granter records it. */
struct LeaseReply {
  bool granted = false;
  std::uint64_t term = 0;
  base::NodeAddress holder;
  /** Time until the recorded lease expires at the granter. */
  std::uint32_t remaining_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, term, holder, remaining_ms);
  }
};

/** Holder to granter: releases the lease before it expires. */
struct LeaseRelease {
  std::string name;
  std::uint64_t holder_instance = 0;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, holder_instance, term);
  }
};

}  // namespace switchsaddle::wire
