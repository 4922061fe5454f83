#pragma once

#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

namespace switchsaddle::lease {

/** The granters a holder asks. Runs on the holder's strand. */
class GranterSet {
 public:
  virtual ~GranterSet() = default;
  /** Members of the present set, and of the previous one while a change is under way. */
  virtual std::vector<base::NodeAddress> coreAddresses() const = 0;
  /** Whether these are a majority of the set, and of the previous one while a change is under way.
   */
  virtual bool quorum(const std::set<base::NodeAddress>& answered) const = 0;
};

}  // namespace switchsaddle::lease
