#pragma once

#include <array>
#include <cstdint>
#include <span>

#include "switchsaddle/routing/router.h"

namespace switchsaddle::routing {

/**
 * Hashes of a prompt's leading prefix segments, one for each depth, stored without allocation.
 * Segments beyond MaximumDepth are ignored.
 */
class PrefixChains {
 public:
  static constexpr std::size_t MaximumDepth = 8;

  explicit PrefixChains(const Prompt& prompt);
  bool empty() const { return depth_ == 0; }
  std::size_t depth() const { return depth_; }
  /** @return the hash of the first `depth` segments; `depth` counts from 1. */
  std::uint64_t at(std::size_t depth) const { return hashes_[depth - 1]; }
  std::span<const std::uint64_t> all() const { return {hashes_.data(), depth_}; }
  /** @return the depth that ends with the longest shared segment, since caching it saves the most
   * prefill; zero if no segment is shared. */
  std::size_t homeDepth() const { return home_depth_; }
  /** @return the tokens of all shared segments up to MaximumDepth. */
  std::uint32_t sharedTokens() const { return shared_tokens_; }

 private:
  std::array<std::uint64_t, MaximumDepth> hashes_{};
  std::size_t depth_ = 0;
  std::size_t home_depth_ = 0;
  std::uint32_t tokens_ = 0;
  std::uint32_t shared_tokens_ = 0;
};

}  // namespace switchsaddle::routing
