#include "switchsaddle/testbed/workers/kv_cache.h"

#include "switchsaddle/base/hash.h"

namespace switchsaddle::testbed {

std::vector<std::uint64_t> KvCache::chainsOf(const std::vector<PrefixSegment>& segments) {
  std::vector<std::uint64_t> chains;
  std::uint64_t chain = 0;
  for (const PrefixSegment& segment : segments) {
    chain = base::combineHashes(chain, base::hashBytes(segment.id));
    chains.push_back(chain);
  }
  return chains;
}

std::uint64_t KvCache::cachedTokens(const std::vector<PrefixSegment>& segments) const {
  const std::vector<std::uint64_t> chains = chainsOf(segments);
  std::uint64_t tokens = 0;
  for (std::size_t index = 0; index < segments.size(); ++index) {
    if (!by_chain_.contains(chains[index])) {
      break;
    }
    tokens += segments[index].tokens;
  }
  return tokens;
}

void KvCache::insert(const std::vector<PrefixSegment>& segments) {
  const std::vector<std::uint64_t> chains = chainsOf(segments);
  for (std::size_t index = segments.size(); index > 0; --index) {
    touch(chains[index - 1], segments[index - 1].tokens);
  }
  evict();
}

void KvCache::touch(std::uint64_t chain, std::uint32_t tokens) {
  const auto found = by_chain_.find(chain);
  if (found != by_chain_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
    return;
  }
  entries_.push_front(Entry{chain, tokens});
  by_chain_[chain] = entries_.begin();
  used_tokens_ += tokens;
}

void KvCache::evict() {
  while (used_tokens_ > capacity_tokens_ && !entries_.empty()) {
    used_tokens_ -= entries_.back().tokens;
    by_chain_.erase(entries_.back().chain);
    entries_.pop_back();
  }
}

}  // namespace switchsaddle::testbed
