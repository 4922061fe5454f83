#pragma once

#include <map>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/wire/session_messages.h"

namespace switchsaddle::front {

/**
 * The fronts that this one has known of late. Right after a restart of the cores their list names
 * only those that have opened again, while the others serve on; so one that is no longer listed
 * counts on for a while. Told to the cores as a digest, by which a core that has lost its memory
 * finds that it has heard every front there was. Runs on the control strand.
 */
class FrontHistory {
 public:
  FrontHistory(base::Dispatcher& dispatcher, base::NodeAddress self);

  /** Takes the fronts that the cores list now. */
  void see(const std::vector<base::NodeAddress>& listed);
  /** In order of address, this front included. */
  std::vector<base::NodeAddress> recent() const;
  wire::FleetKnowledge fleet_knowledge() const;

 private:
  base::Dispatcher& dispatcher_;
  base::NodeAddress self_;
  base::TimePoint started_at_;
  std::map<base::NodeAddress, base::TimePoint> seen_;
};

}  // namespace switchsaddle::front
