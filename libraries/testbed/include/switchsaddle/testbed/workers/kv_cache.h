#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace switchsaddle::testbed {

/** One shared segment of a prompt's prefix. */
struct PrefixSegment {
  std::string id;
  std::uint32_t tokens = 0;
};

/**
 * Model of a worker's KV cache. A segment is cached together with the chain of segments before it,
 * so only the first segments of a prompt can hit. The least recently used segments are evicted when
 * the capacity in tokens is exceeded; a chain is evicted from its last segment on. Not thread-safe.
 */
class KvCache {
 public:
  explicit KvCache(std::uint64_t capacity_tokens) : capacity_tokens_(capacity_tokens) {}
  /** Tokens of the longest cached sequence of leading segments. Does not mark them as used. */
  std::uint64_t cachedTokens(const std::vector<PrefixSegment>& segments) const;
  /** Caches all segments of the prompt and marks them as most recently used. */
  void insert(const std::vector<PrefixSegment>& segments);
  std::uint64_t usedTokens() const { return used_tokens_; }

 private:
  struct Entry {
    std::uint64_t chain = 0;
    std::uint32_t tokens = 0;
  };
  static std::vector<std::uint64_t> chainsOf(const std::vector<PrefixSegment>& segments);
  void touch(std::uint64_t chain, std::uint32_t tokens);
  void evict();

  std::uint64_t capacity_tokens_;
  std::uint64_t used_tokens_ = 0;
  /** Most recently used first. */
  std::list<Entry> entries_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_chain_;
};

}  // namespace switchsaddle::testbed
