#include "switchsaddle/core/membership/member_spread.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace switchsaddle::core {
namespace {

/** The number of cores in each zone of a deployment. */
using Layout = std::vector<std::size_t>;

std::vector<PlacedCore> coresOf(const Layout& layout) {
  std::vector<PlacedCore> cores;
  for (std::size_t zone = 0; zone < layout.size(); ++zone) {
    for (std::size_t core = 0; core < layout[zone]; ++core) {
      const std::uint64_t number = cores.size() + 1;
      const base::NodeAddress address{"10.0.0.1", static_cast<std::uint16_t>(number)};
      cores.push_back({{address, number}, "zone" + std::to_string(zone)});
    }
  }
  return cores;
}

/** @return the set to which the members converge, one change at a time. */
std::vector<PlacedCore> converged(std::vector<PlacedCore> members,
                                  std::vector<PlacedCore> candidates, ToleratedLosses tolerated) {
  const auto move = [](std::vector<PlacedCore>& from, std::vector<PlacedCore>& to,
                       const wire::AcceptorMember& member) {
    const auto found = std::ranges::find(from, member, &PlacedCore::member);
    to.push_back(*found);
    from.erase(found);
  };
  for (int step = 0; step < 100; ++step) {
    const bool is_too_small = members.size() < requiredMembers(tolerated);
    const auto added = is_too_small ? memberToAdd(members, candidates) : std::nullopt;
    if (added) {
      move(candidates, members, *added);
      continue;
    }
    const auto exchange = exchangeForSpread(members, candidates, tolerated);
    if (!exchange) {
      return members;
    }
    move(members, candidates, exchange->leaving);
    move(candidates, members, exchange->joining);
  }
  ADD_FAILURE() << "exchanges do not end";
  return members;
}

std::map<std::string, std::size_t> zonesOf(const std::vector<PlacedCore>& members) {
  std::map<std::string, std::size_t> zones;
  for (const PlacedCore& core : members) {
    ++zones[core.zone];
  }
  return zones;
}

/** @return the maximum number of members that the loss of `zones` zones can affect. */
std::size_t worstZoneLoss(const std::vector<PlacedCore>& members, std::size_t zones) {
  std::vector<std::size_t> sizes;
  for (const auto& [zone, count] : zonesOf(members)) {
    sizes.push_back(count);
  }
  std::sort(sizes.rbegin(), sizes.rend());
  std::size_t lost = 0;
  for (std::size_t index = 0; index < std::min(zones, sizes.size()); ++index) {
    lost += sizes[index];
  }
  return lost;
}

/** @return whether some set of the required size keeps a majority after the tolerated losses. */
bool possible(const Layout& layout, ToleratedLosses tolerated) {
  const std::size_t required = requiredMembers(tolerated);
  std::size_t all = 0;
  for (const std::size_t count : layout) {
    all += count;
  }
  if (all < required) {
    return false;
  }
  if (tolerated.zones == 0) {
    return true;
  }
  // Fills the zones evenly up to their sizes, which minimizes the size of the largest zone.
  Layout chosen(layout.size(), 0);
  for (std::size_t left = required; left > 0; --left) {
    std::size_t best = layout.size();
    for (std::size_t zone = 0; zone < layout.size(); ++zone) {
      const bool has_more = chosen[zone] < layout[zone];
      if (has_more && (best == layout.size() || chosen[zone] < chosen[best])) {
        best = zone;
      }
    }
    ++chosen[best];
  }
  std::sort(chosen.rbegin(), chosen.rend());
  std::size_t lost = 0;
  for (std::size_t index = 0; index < std::min<std::size_t>(tolerated.zones, chosen.size());
       ++index) {
    lost += chosen[index];
  }
  return required - lost > required / 2;
}

TEST(MemberSpreadTest, RequiresAMajorityAfterTheLosses) {
  EXPECT_EQ(requiredMembers({0, 0}), 0);
  EXPECT_EQ(requiredMembers({1, 1}), 3);
  EXPECT_EQ(requiredMembers({2, 1}), 5);
  EXPECT_EQ(requiredMembers({0, 1}), 3);
}

TEST(MemberSpreadTest, AddsInTheZoneWithTheFewestMembers) {
  const std::vector<PlacedCore> cores = coresOf({2, 2, 1});
  const auto added = memberToAdd({cores[0], cores[1], cores[2]}, {cores[3], cores[4]});
  ASSERT_TRUE(added);
  EXPECT_EQ(*added, cores[4].member);
  EXPECT_FALSE(memberToAdd(cores, {}));
}

TEST(MemberSpreadTest, ExchangesNoMemberWhileAZoneIsUnknown) {
  std::vector<PlacedCore> cores = coresOf({2, 1, 1});
  std::vector<PlacedCore> members = {cores[0], cores[1], cores[2]};
  ASSERT_TRUE(exchangeForSpread(members, {cores[3]}, {1, 1}));
  members[2].zone.clear();
  EXPECT_FALSE(exchangeForSpread(members, {cores[3]}, {1, 1}));
  EXPECT_EQ(shortfallOf(members, {1, 1}), SpreadShortfall::None);
}

TEST(MemberSpreadTest, ReportsTheShortfall) {
  const std::vector<PlacedCore> three = coresOf({2, 1});
  EXPECT_EQ(shortfallOf(three, {2, 0}), SpreadShortfall::Cores);
  EXPECT_EQ(shortfallOf(three, {1, 1}), SpreadShortfall::Zones);
  EXPECT_EQ(shortfallOf(three, {1, 0}), SpreadShortfall::None);
  EXPECT_EQ(shortfallOf(three, {0, 0}), SpreadShortfall::None);
}

/** Every layout of up to four zones with up to three cores each, every tolerance, random initial
 * members: if some set tolerates the losses, the members converge to one that does. */
TEST(MemberSpreadTest, ConvergesToASetThatToleratesTheLossesIfOneExists) {
  std::mt19937 random(1);
  std::size_t tolerated_layouts = 0;
  for (std::size_t code = 0; code < 256; ++code) {
    const Layout layout = {code % 4, code / 4 % 4, code / 16 % 4, code / 64 % 4};
    std::vector<PlacedCore> cores = coresOf(layout);
    if (cores.size() < 3) {
      continue;
    }
    for (std::uint32_t losses = 0; losses <= 3; ++losses) {
      for (std::uint32_t zones = 0; zones <= 1; ++zones) {
        const ToleratedLosses tolerated{losses, zones};
        std::shuffle(cores.begin(), cores.end(), random);
        const std::vector<PlacedCore> initial_members(cores.begin(), cores.begin() + 3);
        const std::vector<PlacedCore> candidates(cores.begin() + 3, cores.end());
        const std::vector<PlacedCore> members = converged(initial_members, candidates, tolerated);
        const bool enough = members.size() >= requiredMembers(tolerated);
        const bool tolerates =
            enough && members.size() - worstZoneLoss(members, zones) > members.size() / 2;
        if (losses + zones > 0 && possible(layout, tolerated)) {
          EXPECT_TRUE(tolerates) << "layout " << code << " losses " << losses << " zones " << zones;
          EXPECT_GT(members.size() - losses, members.size() / 2);
          ++tolerated_layouts;
        }
        EXPECT_EQ(shortfallOf(members, tolerated) == SpreadShortfall::None, tolerates);
      }
    }
  }
  EXPECT_GT(tolerated_layouts, 500U);
}

}  // namespace
}  // namespace switchsaddle::core
