#pragma once

#include <optional>

#include "switchsaddle/base/incident.h"
#include "switchsaddle/journal/journal.h"

namespace switchsaddle::journal {

/**
 * Maps the events of the journal that an operator must see to incidents: a changed acceptor set, a
 * replaced core node, a storage fault, a configuration in force or rejected, and the platform's
 * worker list updated or kept.
 * @return the incident, or std::nullopt for all other events.
 */
std::optional<base::Incident> incidentOf(const Event& event);

}  // namespace switchsaddle::journal
