#include "switchsaddle/base/hash.h"

#include <xxhash.h>

#include <array>

namespace switchsaddle::base {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace switchsaddle::base
