#pragma once

#include <map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/**
 * The fronts of which this one has recently received the address. After a restart of the cores
 * their membership names only the fronts that have opened a session again, while the others
 * continue to serve; therefore a front that is no longer listed remains in the history for a while.
 * The cores get a digest of it, by which a core without state recognizes that it has received the
 * reports of every front. Runs on the control strand.
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
