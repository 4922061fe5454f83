#include "node/lease_events.h"

namespace switchsaddle::core {

void reportLease(base::IncidentSink& incidents, const lease::LeaseHolder& lease,
                 const std::string& name, bool gained) {
  base::Incident incident;
  incident.event = gained ? "lease-gained" : "lease-lost";
  incident.fields = {{"lease", name}, {"term", gained ? std::to_string(lease.term()) : ""}};
  incidents.report(incident);
}

}  // namespace switchsaddle::core
