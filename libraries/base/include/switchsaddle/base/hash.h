#pragma once

#include <cstdint>
#include <string_view>

namespace switchsaddle::base {

/** @return the 64-bit XXH3 of the bytes: equal on all builds and machines, not cryptographic. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/** @return a hash of two values, which depends on their order. */
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

}  // namespace switchsaddle::base
