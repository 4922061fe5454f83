#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

/**
 * @file
 * Overloads of cereal's load functions for PortableBinaryInputArchive. Every decoder of bytes from
 * a peer or a disk must include this header.
 *
 * The overloads allocate memory only as bytes are read, so that a forged length cannot make the
 * decoder allocate far more than the size of its input, and reject booleans other than 0 and 1. The
 * encoded form is cereal's own.
 */
namespace cereal {

/**
 * Reads one boolean.
 * @throws cereal::Exception if the byte is neither 0 nor 1.
 */
inline void load(PortableBinaryInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive(byte);
  if (byte > 1) {
    throw Exception("a boolean is neither 0 nor 1");
  }
  value = byte == 1;
}

/**
 * Reads a string chunk by chunk.
 * @throws cereal::Exception if the input ends before the announced length.
 */
inline void load(PortableBinaryInputArchive& archive, std::string& text) {
  constexpr size_type ChunkBytes = 64U << 10U;
  size_type remaining = 0;
  archive(make_size_tag(remaining));
  text.clear();
  while (remaining > 0) {
    const size_type chunk = std::min(remaining, ChunkBytes);
    const std::size_t filled = text.size();
    text.resize(filled + chunk);
    archive(binary_data(text.data() + filled, chunk));
    remaining -= chunk;
  }
}

/**
 * Reads a vector element by element.
 * @throws cereal::Exception if the input ends before the announced count.
 */
template <class Element, class Allocator>
requires(!std::is_same_v<Element, bool>) void load(PortableBinaryInputArchive& archive,
                                                   std::vector<Element, Allocator>& elements) {
  size_type count = 0;
  archive(make_size_tag(count));
  elements.clear();
  for (size_type index = 0; index < count; ++index) {
    archive(elements.emplace_back());
  }
}

}  // namespace cereal
