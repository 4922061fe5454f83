#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "parsed_configuration.h"

namespace switchsaddle::configuration {

/** The path of a branch's parent; empty for the root. */
std::string parentBranch(const std::string& path);

/**
 * Divides slots in proportion to parts, by largest remainder; ties go to the earlier. The sum is
 * exactly `slots` where any part is above zero. Then, while a child with parts has no slot, it gets
 * one from the child that has most, as long as that one keeps one.
 */
std::vector<std::uint32_t> divideSlots(std::uint32_t slots,
                                       const std::vector<std::uint32_t>& parts);

/** The slots of every branch, worked out from the root down. Requires a tree without faults. */
std::map<std::string, Branch> workOutBranches(const std::map<std::string, ShareEntry>& share);

}  // namespace switchsaddle::configuration
