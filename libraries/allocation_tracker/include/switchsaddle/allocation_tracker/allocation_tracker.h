#pragma once

#include <cstddef>

/**
 * @file
 * For tests of decoders. A program that links this library gets a global operator new that records
 * the largest requested size. Not thread-safe.
 */

namespace switchsaddle::allocation_tracker {

/** @return the size in bytes of the largest block requested since the last reset. */
std::size_t largestAllocation();
/** Sets the recorded size to zero. */
void resetLargestAllocation();

}  // namespace switchsaddle::allocation_tracker
