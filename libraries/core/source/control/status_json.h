#pragma once

#include <string>
#include <vector>

#include "switchsaddle/core/control/node_information.h"
#include "switchsaddle/wire/session_messages.h"

/**
 * @file
 * JSON bodies of the control API about the responding node.
 */

namespace switchsaddle::core {

/** @return the body of GET /v1/status: node, configuration version, storage, core set, leases,
 * sessions. */
std::string renderStatus(const NodeStatus& status,
                         const std::vector<wire::SessionTableEntry>& sessions,
                         std::uint64_t version, std::uint64_t digest);

}  // namespace switchsaddle::core
