#pragma once

#include <cstddef>

/**
 * @file
 * For tests of decoders only: a program that links this has its global operator new replaced by one
 * which notes the size of what is asked for. For programs with one thread.
 */

namespace switchsaddle::allocation_tracker {

/** The largest block, in bytes, this program has asked for since the last reset. */
std::size_t largestAllocation();
void resetLargestAllocation();

}  // namespace switchsaddle::allocation_tracker
