#pragma once

#include <map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/**
 * The fronts whose addresses this one has received recently. After a restart of the cores their
 * membership lists only the fronts that have opened a session again, while the others continue to
 * serve. A front that is no longer listed therefore remains in the history for a while. The cores
 * receive a digest of the history. A core that restarted without state compares the digests to
 * recognize that it has received the reports of every front. Runs on the control strand.
 */
class FrontHistory {
 public:
  FrontHistory(base::Dispatcher& dispatcher, base::NodeAddress self);

  /** Adds the fronts that the cores list now. */
  void update(const std::vector<base::NodeAddress>& listed);
  /** @return the fronts in order of address, including this one. */
  std::vector<base::NodeAddress> recent() const;
  /** @return the age of this history and the digest of its fronts. */
  wire::FleetKnowledge fleetKnowledge() const;

 private:
  base::Dispatcher& dispatcher_;
  base::NodeAddress self_;
  base::TimePoint started_at_;
  /** When each front was last listed. */
  std::map<base::NodeAddress, base::TimePoint> last_seen_;
};

}  // namespace switchsaddle::front
