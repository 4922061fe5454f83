#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Leases for singleton roles, granted by a majority of core nodes. The holder counts from the
 * moment of asking, the granter from receipt.
 */

namespace switchsaddle::wire {

/** Asks one granter for, or renews, a lease. */
struct LeaseRequest {
  std::string name;
  base::NodeAddress holder;
  std::uint64_t holder_instance = 0;
  /** The candidate's term: above every term it has heard of; unchanged on renewal. */
  std::uint64_t term = 0;
  std::uint32_t duration_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, holder, holder_instance, term, duration_ms);
  }
};

/** A granter's answer with the term and holder it knows. */
struct LeaseReply {
  bool granted = false;
  std::uint64_t term = 0;
  base::NodeAddress holder;
  std::uint32_t remaining_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, term, holder, remaining_ms);
  }
};

/** The holder gives the lease back early. */
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
