#include "share_tree.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <numeric>

#include "switchsaddle/base/random.h"

namespace switchsaddle::configuration::test {
namespace {

using testing::ElementsAre;

TEST(ShareTreeTest, DividesSlotsByLargestRemainder) {
  EXPECT_THAT(divideSlots(120, {3, 2, 1}), ElementsAre(60, 40, 20));
  EXPECT_THAT(divideSlots(10, {1, 1, 1}), ElementsAre(4, 3, 3));
  EXPECT_THAT(divideSlots(7, {5, 3, 2}), ElementsAre(4, 2, 1));
}

TEST(ShareTreeTest, ChildrenWithAWeightGetASlotIfSlotsSuffice) {
  EXPECT_THAT(divideSlots(10, {1'000, 1, 1}), ElementsAre(8, 1, 1));
  EXPECT_THAT(divideSlots(2, {10, 1, 1}), ElementsAre(1, 1, 0));
  EXPECT_THAT(divideSlots(10, {0, 1}), ElementsAre(0, 10));
  EXPECT_THAT(divideSlots(0, {1, 1}), ElementsAre(0, 0));
  EXPECT_THAT(divideSlots(5, {0, 0}), ElementsAre(0, 0));
}

TEST(ShareTreeTest, RandomDivisionsKeepTheSum) {
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    base::RandomSource random(seed);
    const auto slots = static_cast<std::uint32_t>(random.below(1'000'000));
    std::vector<std::uint32_t> weights(1 + random.below(20));
    std::uint64_t sum = 0;
    for (std::uint32_t& weight : weights) {
      weight = static_cast<std::uint32_t>(random.chance(0.2) ? 0 : random.below(1'000'000));
      sum += weight;
    }
    const std::vector<std::uint32_t> shares = divideSlots(slots, weights);
    EXPECT_EQ(std::accumulate(shares.begin(), shares.end(), std::uint64_t{0}), sum == 0 ? 0 : slots)
        << seed;
    for (std::size_t index = 0; index < weights.size(); ++index) {
      EXPECT_TRUE(weights[index] > 0 || shares[index] == 0) << seed;
      EXPECT_TRUE(weights[index] == 0 || shares[index] > 0 || slots < weights.size()) << seed;
    }
  }
}

TEST(ShareTreeTest, ResolvesBranchesFromTheRoot) {
  const std::map<std::string, ShareEntry> share{{"root", {100, 0}},
                                                {"root/a", {0, 3}},
                                                {"root/a/x", {0, 1}},
                                                {"root/a/y", {0, 1}},
                                                {"root/b", {0, 1}}};
  const std::map<std::string, Branch> branches = resolveBranches(share);
  EXPECT_EQ(branches.at("root").slots, 100);
  EXPECT_EQ(branches.at("root/a").slots, 75);
  EXPECT_EQ(branches.at("root/a/x").slots, 38);
  EXPECT_EQ(branches.at("root/a/y").slots, 37);
  EXPECT_EQ(branches.at("root/b").slots, 25);
}

}  // namespace
}  // namespace switchsaddle::configuration::test
