#include "switchsaddle/routing/prefix_chains.h"

#include <algorithm>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

PrefixChains::PrefixChains(const Prompt& prompt)
    : depth_(std::min(prompt.prefix_segments.size(), MaximumDepth)) {
  std::uint64_t chain = base::hashBytes(prompt.model);
  std::uint32_t longest_tokens = 0;
  const std::size_t shared_depth = prompt.last_segment_private && depth_ > 0 ? depth_ - 1 : depth_;
  for (std::size_t index = 0; index < depth_; ++index) {
    const PrefixSegment& segment = prompt.prefix_segments[index];
    chain = base::combineHashes(chain, base::hashBytes(segment.id));
    hashes_[index] = chain;
    tokens_ += segment.tokens;
    const bool is_shared = index < shared_depth;
    if (is_shared && (home_depth_ == 0 || segment.tokens > longest_tokens)) {
      longest_tokens = segment.tokens;
      home_depth_ = index + 1;
    }
    if (is_shared) {
      shared_tokens_ = tokens_;
    }
  }
}

}  // namespace switchsaddle::routing
