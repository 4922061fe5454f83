#include "switchsaddle/allocation_tracker/allocation_tracker.h"

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

std::size_t largest_allocation = 0;

}  // namespace

void* operator new(std::size_t bytes) {
  largest_allocation = std::max(largest_allocation, bytes);
  void* block = std::malloc(bytes);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  return block;
}
void operator delete(void* block) noexcept {
  std::free(block);
}
void operator delete(void* block, std::size_t /*bytes*/) noexcept {
  std::free(block);
}

namespace switchsaddle::allocation_tracker {

std::size_t largestAllocation() {
  return largest_allocation;
}

void resetLargestAllocation() {
  largest_allocation = 0;
}

}  // namespace switchsaddle::allocation_tracker
