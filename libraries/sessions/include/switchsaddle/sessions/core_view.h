#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::sessions {

/** The state of a core node's acceptor that its session table depends on. Control strand. */
class CoreView {
 public:
  virtual ~CoreView() = default;
  /** @return the members of the acceptor set, and those of the previous one during a change. */
  virtual std::vector<base::NodeAddress> coreAddresses() const = 0;
  /** @return whether these are a majority of the acceptor set and, during a change, of the previous
   * set. */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
  /** @return the configuration version that the local acceptor has accepted and synced. */
  virtual std::uint64_t acceptedVersion() const = 0;
  /** @return the epoch of the acceptor set. */
  virtual std::uint64_t setEpoch() const { return 0; }
  /** Whether the change of the acceptor set that admits this node's instance is in progress. */
  virtual bool joining() const { return false; }
  /** False while the local acceptor's instance is not admitted or has lost its state. */
  virtual bool mayVote() const = 0;
};

}  // namespace switchsaddle::sessions
