#pragma once

#include <vector>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/sessions/session_table.h"

namespace switchsaddle::core {

/** @return the distinct addresses of the fronts with a live session at this core, in order. */
std::vector<base::NodeAddress> frontsWithSessions(const sessions::SessionTable& sessions);

}  // namespace switchsaddle::core
