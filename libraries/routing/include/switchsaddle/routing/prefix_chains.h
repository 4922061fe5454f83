#pragma once

#include <array>
#include <cstdint>
#include <span>

#include "switchsaddle/routing/router.h"

namespace switchsaddle::routing {

/**
 * Hashes of a prompt's leading prefix parts, one for each depth, kept without allocation. Parts
 * beyond MaximumDepth are not told apart.
 */
class PrefixChains {
 public:
  static constexpr std::size_t MaximumDepth = 8;

  explicit PrefixChains(const Prompt& prompt);
  bool empty() const { return depth_ == 0; }
  std::size_t depth() const { return depth_; }
  /** Hash of the first `depth` parts; `depth` counts from 1. */
  std::uint64_t at(std::size_t depth) const { return hashes_[depth - 1]; }
  std::span<const std::uint64_t> all() const { return {hashes_.data(), depth_}; }
  /** The depth that ends with the longest shared part, the one most worth finding in a cache; zero
   * where none is shared. */
  std::size_t homeDepth() const { return home_depth_; }
  /** Tokens of all shared parts told apart. */
  std::uint32_t sharedTokens() const { return shared_tokens_; }

 private:
  std::array<std::uint64_t, MaximumDepth> hashes_{};
  std::size_t depth_ = 0;
  std::size_t home_depth_ = 0;
  std::uint32_t tokens_ = 0;
  std::uint32_t shared_tokens_ = 0;
};

}  // namespace switchsaddle::routing
