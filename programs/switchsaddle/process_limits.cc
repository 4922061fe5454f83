#include "process_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstddef>

namespace switchsaddle {

namespace {

/** Blocks of this size and more are mapped one by one, so that freeing one returns its memory. */
constexpr int MappedBlockBytes = 256 << 10;
/** Free memory at the end of the heap that the process keeps. */
constexpr int RetainedHeapBytes = 1 << 20;

/** @return the number of descriptors that the system lets this process open. */
std::size_t systemDescriptors(std::size_t fallback) {
  rlimit limit{};
  const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return is_known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : fallback;
}

}  // namespace

node_options::NodeLimits processLimits(const configuration::Settings& settings,
                                       node_options::NodeRole role) {
  constexpr std::size_t UnlimitedDescriptors = 16'384;
  const std::size_t given = settings.limits.descriptors;
  const std::size_t system = systemDescriptors(given > 0 ? given : UnlimitedDescriptors);
  const std::size_t descriptors = given > 0 ? std::min(given, system) : system;
  return node_options::nodeLimits(settings.limits, descriptors, role);
}

void returnFreedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, RetainedHeapBytes);
}

}  // namespace switchsaddle
