#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace switchsaddle::testbed {

/** One shared part of a prompt's prefix. */
struct PrefixSegment {
  std::string id;
  std::uint32_t tokens = 0;
};

/**
 * Model of a worker's KV cache. A part is cached for the chain of parts before it, so only a
 * leading run of a prompt can hit. Least recently used chains are evicted once the capacity in
 * tokens is passed; a chain's last part is always evicted before its first. Not thread-safe.
 */
class KvCache {
 public:
  explicit KvCache(std::uint64_t capacity_tokens) : capacity_tokens_(capacity_tokens) {}
  /** Tokens of the longest leading run of parts which is cached. Changes nothing. */
  std::uint64_t cachedTokens(const std::vector<PrefixSegment>& parts) const;
  /** Caches all parts of the prompt and marks them as used last. */
  void insert(const std::vector<PrefixSegment>& parts);
  std::uint64_t usedTokens() const { return used_tokens_; }

 private:
  struct Entry {
    std::uint64_t chain = 0;
    std::uint32_t tokens = 0;
  };
  static std::vector<std::uint64_t> chainsOf(const std::vector<PrefixSegment>& parts);
  void touch(std::uint64_t chain, std::uint32_t tokens);
  void evict();

  std::uint64_t capacity_tokens_;
  std::uint64_t used_tokens_ = 0;
  /** Most recently used first. */
  std::list<Entry> entries_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_chain_;
};

}  // namespace switchsaddle::testbed
