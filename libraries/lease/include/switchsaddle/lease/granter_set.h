#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::lease {

/** Number of low-order bits of a term, which count within an epoch. The bits above them are the
 * epoch of the acceptor set. */
inline constexpr unsigned TermCountBits = 24;

/** @return the epoch of the acceptor set to which a term belongs. */
constexpr std::uint64_t epochOfTerm(std::uint64_t term) {
  return term >> TermCountBits;
}

/** The granters of a lease. Called on the holder's strand. */
class GranterSet {
 public:
  virtual ~GranterSet() = default;
  /** @return the members of the acceptor set, and those of the previous one during a change. */
  virtual std::vector<base::NodeAddress> coreAddresses() const = 0;
  /** Whether these nodes are a majority of the acceptor set and, during a change, of the previous
   * one. */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
  /** Whether this node may campaign for leases. A node outside the acceptor set must not, since it
   * could not do the work of a holder. */
  virtual bool mayCampaign() const { return true; }
  /** @return the epoch of the acceptor set; terms of a later set are all higher. */
  virtual std::uint64_t setEpoch() const { return 0; }
};

}  // namespace switchsaddle::lease
