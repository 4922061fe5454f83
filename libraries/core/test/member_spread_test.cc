#include "member_spread.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace switchsaddle::core {
namespace {

/** Cores of a deployment: how many run in each zone. */
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

/** The set as the keeper makes it out of founders and the others, one step at a time. */
std::vector<PlacedCore> settled(std::vector<PlacedCore> members, std::vector<PlacedCore> others,
                                ToleratedLosses tolerated) {
  const auto move = [](std::vector<PlacedCore>& from, std::vector<PlacedCore>& to,
                       const wire::AcceptorMember& member) {
    const auto found = std::ranges::find(from, member, &PlacedCore::member);
    to.push_back(*found);
    from.erase(found);
  };
  for (int step = 0; step < 100; ++step) {
    const bool wants_more = members.size() < wantedMembers(tolerated);
    const auto added = wants_more ? memberToAdd(members, others) : std::nullopt;
    if (added) {
      move(others, members, *added);
      continue;
    }
    const auto exchange = exchangeForSpread(members, others, tolerated);
    if (!exchange) {
      return members;
    }
    move(members, others, exchange->leaving);
    move(others, members, exchange->joining);
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

/** The most members that the loss of so many zones can take. */
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

/** Whether some choice of as many cores as wanted leaves a majority without any `zones` zones. */
bool possible(const Layout& layout, ToleratedLosses tolerated) {
  const std::size_t wanted = wantedMembers(tolerated);
  std::size_t all = 0;
  for (const std::size_t count : layout) {
    all += count;
  }
  if (all < wanted) {
    return false;
  }
  if (tolerated.zones == 0) {
    return true;
  }
  // Zones filled evenly, as far as they go: no choice has a smaller largest zone.
  Layout chosen(layout.size(), 0);
  for (std::size_t left = wanted; left > 0; --left) {
    std::size_t best = layout.size();
    for (std::size_t zone = 0; zone < layout.size(); ++zone) {
      const bool room = chosen[zone] < layout[zone];
      if (room && (best == layout.size() || chosen[zone] < chosen[best])) {
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
  return wanted - lost > wanted / 2;
}

TEST(MemberSpreadTest, WantsAMajorityLeftAfterTheLosses) {
  EXPECT_EQ(wantedMembers({0, 0}), 0);
  EXPECT_EQ(wantedMembers({1, 1}), 3);
  EXPECT_EQ(wantedMembers({2, 1}), 5);
  EXPECT_EQ(wantedMembers({0, 1}), 3);
}

TEST(MemberSpreadTest, AddsWhereTheFewestAre) {
  const std::vector<PlacedCore> cores = coresOf({2, 2, 1});
  const auto added = memberToAdd({cores[0], cores[1], cores[2]}, {cores[3], cores[4]});
  ASSERT_TRUE(added);
  EXPECT_EQ(*added, cores[4].member);
  EXPECT_FALSE(memberToAdd(cores, {}));
}

TEST(MemberSpreadTest, ExchangesNothingWhileZonesAreNotKnown) {
  std::vector<PlacedCore> cores = coresOf({2, 1, 1});
  std::vector<PlacedCore> members = {cores[0], cores[1], cores[2]};
  ASSERT_TRUE(exchangeForSpread(members, {cores[3]}, {1, 1}));
  members[2].zone.clear();
  EXPECT_FALSE(exchangeForSpread(members, {cores[3]}, {1, 1}));
  EXPECT_EQ(shortfallOf(members, {1, 1}), SpreadShortfall::None);
}

TEST(MemberSpreadTest, SaysWhatIsLacking) {
  const std::vector<PlacedCore> three = coresOf({2, 1});
  EXPECT_EQ(shortfallOf(three, {2, 0}), SpreadShortfall::Cores);
  EXPECT_EQ(shortfallOf(three, {1, 1}), SpreadShortfall::Zones);
  EXPECT_EQ(shortfallOf(three, {1, 0}), SpreadShortfall::None);
  EXPECT_EQ(shortfallOf(three, {0, 0}), SpreadShortfall::None);
}

/** Every layout of up to four zones with up to three cores each, every tolerance, founders drawn:
 * wherever some set bears the losses, the one that is settled on does. */
TEST(MemberSpreadTest, BearsWhateverCanBeBorne) {
  std::mt19937 random(1);
  std::size_t borne = 0;
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
        const std::vector<PlacedCore> founders(cores.begin(), cores.begin() + 3);
        const std::vector<PlacedCore> others(cores.begin() + 3, cores.end());
        const std::vector<PlacedCore> members = settled(founders, others, tolerated);
        const bool enough = members.size() >= wantedMembers(tolerated);
        const bool bears =
            enough && members.size() - worstZoneLoss(members, zones) > members.size() / 2;
        if (losses + zones > 0 && possible(layout, tolerated)) {
          EXPECT_TRUE(bears) << "layout " << code << " losses " << losses << " zones " << zones;
          EXPECT_GT(members.size() - losses, members.size() / 2);
          ++borne;
        }
        EXPECT_EQ(shortfallOf(members, tolerated) == SpreadShortfall::None, bears);
      }
    }
  }
  EXPECT_GT(borne, 500U);
}

}  // namespace
}  // namespace switchsaddle::core
