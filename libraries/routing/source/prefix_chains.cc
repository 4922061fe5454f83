#include "switchsaddle/routing/prefix_chains.h"

#include <algorithm>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

PrefixChains::PrefixChains(const Prompt& prompt)
    : depth_(std::min(prompt.prefix_parts.size(), MaximumDepth)) {
  std::uint64_t chain = base::hashBytes(prompt.model);
  std::uint32_t longest = 0;
  for (std::size_t index = 0; index < depth_; ++index) {
    const PrefixPart& part = prompt.prefix_parts[index];
    chain = base::combineHashes(chain, base::hashBytes(part.id));
    hashes_[index] = chain;
    tokens_ += part.tokens;
    if (home_depth_ == 0 || part.tokens > longest) {
      longest = part.tokens;
      home_depth_ = index + 1;
    }
  }
}

}  // namespace switchsaddle::routing
