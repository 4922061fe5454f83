#include "switchsaddle/testbed/workers/kv_cache.h"

#include <gtest/gtest.h>

namespace switchsaddle::testbed {
namespace {

TEST(KvCacheTest, CountsOnlyLeadingSegments) {
  KvCache cache(1'000);
  cache.insert({{"system", 100}, {"menu", 50}});
  EXPECT_EQ(cache.cachedTokens({{"system", 100}, {"menu", 50}, {"new", 10}}), 150U);
  EXPECT_EQ(cache.cachedTokens({{"system", 100}, {"other", 50}, {"menu", 50}}), 100U);
}

TEST(KvCacheTest, ASegmentIsCachedOnlyAfterItsOwnChain) {
  KvCache cache(1'000);
  cache.insert({{"system", 100}, {"menu", 50}});
  EXPECT_EQ(cache.cachedTokens({{"menu", 50}}), 0U);
}

TEST(KvCacheTest, EvictsTheLeastRecentlyUsedWithinCapacity) {
  KvCache cache(250);
  cache.insert({{"a", 100}});
  cache.insert({{"b", 100}});
  cache.insert({{"a", 100}});
  cache.insert({{"c", 100}});
  EXPECT_EQ(cache.cachedTokens({{"a", 100}}), 100U);
  EXPECT_EQ(cache.cachedTokens({{"b", 100}}), 0U);
  EXPECT_LE(cache.usedTokens(), 250U);
}

TEST(KvCacheTest, EvictsAChainFromItsEnd) {
  KvCache cache(200);
  cache.insert({{"a", 100}, {"b", 100}});
  cache.insert({{"c", 50}});
  EXPECT_EQ(cache.cachedTokens({{"a", 100}, {"b", 100}}), 100U);
}

}  // namespace
}  // namespace switchsaddle::testbed
