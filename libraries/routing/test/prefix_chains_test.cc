#include "switchsaddle/routing/prefix_chains.h"

#include <gtest/gtest.h>

namespace switchsaddle::routing {
namespace {

TEST(PrefixChainsTest, APrivateSegmentHasNoHome) {
  Prompt prompt{"m", {{"system", 100}, {"subject", 400}, {"own", 5'000}}, 5'500, 10};
  EXPECT_EQ(PrefixChains(prompt).homeDepth(), 3U);
  prompt.last_segment_private = true;
  const PrefixChains chains(prompt);
  EXPECT_EQ(chains.homeDepth(), 2U);
  EXPECT_EQ(chains.sharedTokens(), 500U);
  prompt.prefix_segments = {{"own", 5'000}};
  EXPECT_EQ(PrefixChains(prompt).homeDepth(), 0U);
}

}  // namespace
}  // namespace switchsaddle::routing
