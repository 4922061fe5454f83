#pragma once

#include <optional>

#include "switchsaddle/base/incident.h"
#include "switchsaddle/journal/journal.h"

namespace switchsaddle::journal {

/**
 * The incident that an event of the journal stands for, where an operator must see it: a changed
 * acceptor set, a replaced core node, a storage fault, a configuration in force or refused, and the
 * platform's list read again or kept.
 */
std::optional<base::Incident> incidentOf(const Event& event);

}  // namespace switchsaddle::journal
