#include "switchsaddle/core/membership/candidate_table.h"

#include <gtest/gtest.h>

namespace switchsaddle::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::CoreAnnounce announceOf(std::uint16_t port, std::uint64_t instance) {
  wire::CoreAnnounce announce;
  announce.member = {{"127.0.0.1", port}, instance};
  announce.zone = "north";
  return announce;
}

class CandidateTableTest : public testing::Test {
 protected:
  const base::TimePoint start_{};
  CandidateTable table_{seconds(3)};
};

TEST_F(CandidateTableTest, SeparatesCandidatesAtAddressesOfMembers) {
  const CandidateTable::Members members = {{{"127.0.0.1", 1}, 10}};
  table_.update(announceOf(1, 11), start_);
  table_.update(announceOf(2, 20), start_);
  const std::vector<PlacedCore> elsewhere = table_.atOtherAddresses(members);
  ASSERT_EQ(elsewhere.size(), 1U);
  EXPECT_EQ(elsewhere.front().member.instance, 20U);
  EXPECT_EQ(elsewhere.front().zone, "north");
  EXPECT_EQ(table_.atAddress({"127.0.0.1", 1}, members)->instance, 11U);
  EXPECT_FALSE(table_.atAddress({"127.0.0.1", 3}, members));
}

TEST_F(CandidateTableTest, MemberIsNotACandidateAtItsOwnAddress) {
  table_.update(announceOf(1, 10), start_);
  EXPECT_FALSE(table_.atAddress({"127.0.0.1", 1}, {{{"127.0.0.1", 1}, 10}}));
}

TEST_F(CandidateTableTest, RemovesCandidatesThatDoNotAnnounceThemselves) {
  table_.update(announceOf(1, 10), start_);
  table_.removeExpired(start_ + seconds(3));
  EXPECT_EQ(table_.atOtherAddresses({}).size(), 1U);
  table_.removeExpired(start_ + milliseconds(3'001));
  EXPECT_TRUE(table_.atOtherAddresses({}).empty());
}

TEST_F(CandidateTableTest, LimitsForwardsOfOneCandidate) {
  table_.update(announceOf(1, 10), start_);
  EXPECT_FALSE(table_.forwardedWithin(10, milliseconds(500), start_));
  table_.noteForwarded(10, start_);
  table_.update(announceOf(1, 10), start_ + milliseconds(499));
  EXPECT_TRUE(table_.forwardedWithin(10, milliseconds(500), start_ + milliseconds(499)));
  EXPECT_FALSE(table_.forwardedWithin(10, milliseconds(500), start_ + milliseconds(500)));
}

}  // namespace
}  // namespace switchsaddle::core
