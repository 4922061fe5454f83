#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::lease {

/** A term's upper bits are the epoch of the granters' set, the lower ones count within it. */
inline constexpr unsigned TermCountBits = 24;

/** The epoch of the granters' set a term belongs to. */
constexpr std::uint64_t epochOfTerm(std::uint64_t term) {
  return term >> TermCountBits;
}

/** The granters a holder asks. Runs on the holder's strand. */
class GranterSet {
 public:
  virtual ~GranterSet() = default;
  /** Members of the present set, and of the previous one while a change is under way. */
  virtual std::vector<base::NodeAddress> coreAddresses() const = 0;
  /** Whether these are a majority of the set, and of the previous one while a change is under way.
   */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
  /** Whether this node may campaign for leases; a node without a place in the set must not, since
   * it could not do a holder's work. */
  virtual bool mayCampaign() const { return true; }
  /** Epoch of the present set; terms of a later one are all higher. */
  virtual std::uint64_t setEpoch() const { return 0; }
};

}  // namespace switchsaddle::lease
