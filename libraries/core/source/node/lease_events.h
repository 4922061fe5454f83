#pragma once

#include <string>

#include "switchsaddle/base/incident.h"
#include "switchsaddle/lease/lease_holder.h"

/**
 * @file
 * Operator events about the leases of singleton roles.
 */

namespace switchsaddle::core {

/** Reports `lease-gained` with the term, or `lease-lost`. */
void reportLease(base::IncidentSink& incidents, const lease::LeaseHolder& lease,
                 const std::string& name, bool gained);

}  // namespace switchsaddle::core
