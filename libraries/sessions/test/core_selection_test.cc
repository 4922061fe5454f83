#include "core_selection.h"

#include <gtest/gtest.h>

#include <map>

namespace switchsaddle::sessions {
namespace {

constexpr int Fronts = 10'000;

std::vector<base::NodeAddress> coresFrom(std::uint16_t first, std::uint16_t last) {
  std::vector<base::NodeAddress> cores;
  for (std::uint16_t port = first; port <= last; ++port) {
    cores.push_back({"127.0.0.1", port});
  }
  return cores;
}

/** @return how many fronts use each core, after all of them began at a random core of `before`. */
std::map<base::NodeAddress, int> usersAfterReplacement(
    const std::vector<base::NodeAddress>& before, const std::vector<base::NodeAddress>& cores) {
  base::RandomSource random(1);
  std::map<base::NodeAddress, int> users;
  for (int front = 0; front < Fronts; ++front) {
    CoreSelection selection(before, random.below(before.size()));
    selection.replace(cores, random);
    ++users[*selection.current()];
  }
  return users;
}

void expectEqualShares(const std::map<base::NodeAddress, int>& users, std::size_t cores) {
  EXPECT_EQ(users.size(), cores);
  const double share = static_cast<double>(Fronts) / static_cast<double>(cores);
  for (const auto& [core, count] : users) {
    EXPECT_NEAR(count, share, share / 10) << core.toString();
  }
}

TEST(CoreSelectionTest, CoresThatAreNotAmongTheSeedsGetTheirShareOfTheFronts) {
  expectEqualShares(usersAfterReplacement(coresFrom(1, 3), coresFrom(1, 5)), 5);
}

TEST(CoreSelectionTest, FrontsOfARemovedCoreSpreadOverAllOthers) {
  expectEqualShares(usersAfterReplacement(coresFrom(1, 5), coresFrom(2, 5)), 4);
}

TEST(CoreSelectionTest, CurrentCoreStaysIfNoneIsAdded) {
  base::RandomSource random(1);
  CoreSelection selection(coresFrom(1, 5), 2);
  selection.replace(coresFrom(3, 5), random);
  EXPECT_EQ(*selection.current(), coresFrom(3, 3).front());
}

}  // namespace
}  // namespace switchsaddle::sessions
