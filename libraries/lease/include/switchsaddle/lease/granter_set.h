#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::lease {

/** The upper bits of a term are the epoch of the acceptor set, the lower ones count within it. */
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
  /** Whether these are a majority of the acceptor set, and of the previous one during a change. */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
  /** Whether this node may campaign for leases. A node outside the set must not, since it could not
   * perform a holder's role. */
  virtual bool mayCampaign() const { return true; }
  /** @return the epoch of the acceptor set; terms of a later set are all higher. */
  virtual std::uint64_t setEpoch() const { return 0; }
};

}  // namespace switchsaddle::lease
