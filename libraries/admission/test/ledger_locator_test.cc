#include "switchsaddle/admission/ledger_locator.h"

#include <gtest/gtest.h>

namespace switchsaddle::admission {
namespace {

const base::NodeAddress First{"127.0.0.1", 1};
const base::NodeAddress Second{"127.0.0.1", 2};

TEST(LedgerLocatorTest, TriesCoresInTurnUnlessItIsRedirected) {
  LedgerLocator locator([] { return std::vector{First, Second}; });
  EXPECT_EQ(locator.addressOf(0), First);
  EXPECT_EQ(locator.addressOf(1), Second);
  locator.reject(0, {});
  EXPECT_EQ(locator.addressOf(0), Second);
  locator.reject(0, Second);
  EXPECT_EQ(locator.addressOf(0), Second);
}

TEST(LedgerLocatorTest, HasNoAddressWithoutCores) {
  LedgerLocator locator([] { return std::vector<base::NodeAddress>{}; });
  EXPECT_TRUE(locator.addressOf(0).empty());
}

TEST(LedgerLocatorTest, KeepsTheHighestTermOfEachShard) {
  LedgerLocator locator([] { return std::vector{First}; });
  EXPECT_TRUE(locator.observeTerm(0, 5));
  EXPECT_TRUE(locator.observeTerm(0, 5));
  EXPECT_FALSE(locator.observeTerm(0, 4));
  EXPECT_TRUE(locator.observeTerm(1, 1));
  EXPECT_EQ(locator.terms(), (std::map<std::uint32_t, std::uint64_t>{{0, 5}, {1, 1}}));
}

}  // namespace
}  // namespace switchsaddle::admission
