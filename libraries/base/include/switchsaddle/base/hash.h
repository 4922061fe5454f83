#pragma once

#include <cstdint>
#include <string_view>

namespace switchsaddle::base {

/** 64-bit XXH3 of the bytes. Stable between builds and machines; not cryptographic. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/** Mixes two 64-bit values into one. */
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

}  // namespace switchsaddle::base
