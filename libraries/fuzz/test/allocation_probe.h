#pragma once

#include <cstddef>

namespace switchsaddle::fuzz {

/** The largest block, in bytes, this program has asked for since the last reset. */
std::size_t largestAllocation();
void resetLargestAllocation();

}  // namespace switchsaddle::fuzz
