#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Digests of address lists, by which nodes compare their views without sending the addresses.
 */

namespace switchsaddle::sessions {

/** @return the digest of the addresses in their order. */
std::uint64_t digestOfAddresses(const std::vector<base::NodeAddress>& addresses);

/** @return the digest of a set of fronts, which a front reports and a core compares. */
std::uint64_t digestOfFronts(const std::set<base::NodeAddress>& fronts);

}  // namespace switchsaddle::sessions
