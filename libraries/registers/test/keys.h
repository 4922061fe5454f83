#pragma once

#include "cluster.h"

namespace switchsaddle::registers {

/** Registers written by writeKeys(); more than two pages of a scan. */
inline constexpr std::size_t KeyCount = 450;

std::string keyName(std::size_t index);
/** Writes each key's index into its register by the first node; whether all were written. */
bool writeKeys(TestCluster& cluster);
/** How many keys read back right at a node. */
std::size_t countIntact(TestCluster& cluster, std::size_t reader);

}  // namespace switchsaddle::registers
