#pragma once

#include "test_cluster.h"

namespace switchsaddle::registers {

/** Number of registers written by writeKeys(); they need more than two pages of a scan. */
inline constexpr std::size_t KeyCount = 450;

std::string keyName(std::size_t index);
/** Writes each key's index into its register through the first node. @return whether all succeeded.
 */
bool writeKeys(TestCluster& cluster);
/** @return the number of keys that have their value when read through a node. */
std::size_t countIntact(TestCluster& cluster, std::size_t reader);

}  // namespace switchsaddle::registers
