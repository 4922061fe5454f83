#include "process_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <fstream>

namespace switchsaddle {

namespace {

/** Blocks of this size and more are mapped one by one, so that freeing one returns its memory. */
constexpr int MappedBlockBytes = 256 << 10;
/** Free memory at the end of the heap that the process keeps. */
constexpr int RetainedHeapBytes = 1 << 20;

/** Memory that a process needs besides what its peers make it hold: threads' stacks, buffers that
 * grow by being copied, and state. */
constexpr std::size_t OwnBytes = std::size_t{48} << 20U;
/** The least that peers are let hold, however little there is. */
constexpr std::size_t LeastMemoryMb = 16;
constexpr unsigned BitsOfMebibyte = 20;

/** What the process uses of the resources that the system limits. */
struct UsedMemory {
  std::size_t address_space = 0;
  std::size_t data = 0;
};

/** @return zeroes if the system does not tell. */
UsedMemory usedMemory() {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  std::size_t shared = 0;
  std::size_t text = 0;
  std::size_t library = 0;
  std::size_t data = 0;
  file >> size >> resident >> shared >> text >> library >> data;
  const auto page_bytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return {size * page_bytes, data * page_bytes};
}

/** @return `memory_mb`, or what the limit leaves beside the process itself if that is less. */
std::size_t withinLimit(std::size_t memory_mb, __rlimit_resource resource, std::size_t used) {
  rlimit limit{};
  if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return memory_mb;
  }
  const std::size_t own = used + OwnBytes;
  const std::size_t left_mb = (std::max<std::size_t>(limit.rlim_cur, own) - own) >> BitsOfMebibyte;
  return std::min(memory_mb, std::max(left_mb, LeastMemoryMb));
}

/** @return the memory that peers may make this process hold within the system's limits. */
std::size_t affordableMemoryMb(std::size_t memory_mb) {
  const UsedMemory used = usedMemory();
  return withinLimit(withinLimit(memory_mb, RLIMIT_AS, used.address_space), RLIMIT_DATA, used.data);
}

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
  configuration::ResourceSettings resources = settings.limits;
  resources.memory_mb = affordableMemoryMb(resources.memory_mb);
  return node_options::nodeLimits(resources, descriptors, role);
}

void useMemorySparingly() {
  // Each further arena reserves 64 MiB of address space; threads other than the main one allocate
  // little.
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, RetainedHeapBytes);
}

}  // namespace switchsaddle
