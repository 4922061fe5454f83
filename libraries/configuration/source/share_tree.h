#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "parsed_configuration.h"

namespace switchsaddle::configuration {

/** @return the path of a branch's parent; empty for the root. */
std::string parentBranch(const std::string& path);

/**
 * Divides slots in proportion to weights by the largest remainder method; ties go to the lower
 * index. A child with a weight but no slot then gets one from the child with the most slots, unless
 * that one has a single slot.
 * @return the slots of each child; their sum is `slots` unless all weights are zero.
 */
std::vector<std::uint32_t> divideSlots(std::uint32_t slots,
                                       const std::vector<std::uint32_t>& weights);

/** @return all branches with their slots. The share tree must be free of faults. */
std::map<std::string, Branch> resolveBranches(const std::map<std::string, ShareEntry>& share);

}  // namespace switchsaddle::configuration
