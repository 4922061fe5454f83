#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * Queries on the members of an acceptor set. "All members" are those of both of its lists,
 * `members` and `previous`.
 */

namespace switchsaddle::registers {

bool containsInstance(const std::vector<wire::AcceptorMember>& members, std::uint64_t instance);
/** Whether the instance is in either list of the set. */
bool containsInstance(const wire::AcceptorSet& set, std::uint64_t instance);
bool containsMember(const std::vector<wire::AcceptorMember>& members,
                    const wire::AcceptorMember& member);

/** @return the addresses of all members in ascending order, each once. */
std::vector<base::NodeAddress> memberAddresses(const wire::AcceptorSet& set);

}  // namespace switchsaddle::registers
