#include "switchsaddle/routing/prefix_chains.h"

#include <algorithm>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

PrefixChains::PrefixChains(const Prompt& prompt)
    : depth_(std::min(prompt.prefix_segments.size(), MaximumDepth)) {
  std::uint64_t chain = base::hashBytes(prompt.model);
  std::uint32_t longest = 0;
  const std::size_t shared = prompt.last_segment_private && depth_ > 0 ? depth_ - 1 : depth_;
  for (std::size_t index = 0; index < depth_; ++index) {
    const PrefixSegment& part = prompt.prefix_segments[index];
    chain = base::combineHashes(chain, base::hashBytes(part.id));
    hashes_[index] = chain;
    tokens_ += part.tokens;
    const bool may_be_home = index < shared;
    if (may_be_home && (home_depth_ == 0 || part.tokens > longest)) {
      longest = part.tokens;
      home_depth_ = index + 1;
    }
    if (may_be_home) {
      shared_tokens_ = tokens_;
    }
  }
}

}  // namespace switchsaddle::routing
