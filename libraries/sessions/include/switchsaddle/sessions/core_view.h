#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::sessions {

/** What a core node's session table needs to know of its acceptor. Control strand. */
class CoreView {
 public:
  virtual ~CoreView() = default;
  /** Members of the present acceptor set, and of the previous one while a change is under way. */
  virtual std::vector<base::NodeAddress> coreAddresses() const = 0;
  /** Whether these are a majority of the set, and of the previous one while a change is under way.
   */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
  /** The configuration version which the local acceptor has durably accepted. */
  virtual std::uint64_t acceptedVersion() const = 0;
  /** Epoch of the present acceptor set. */
  virtual std::uint64_t setEpoch() const { return 0; }
  /** True while the change of the set that admits the own instance is under way. */
  virtual bool joining() const { return false; }
  /** False while the local acceptor's instance is not admitted or has lost its state. */
  virtual bool mayVote() const = 0;
};

}  // namespace switchsaddle::sessions
