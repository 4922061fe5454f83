#include "switchsaddle/core/membership/member_spread.h"

#include <algorithm>
#include <functional>
#include <map>

namespace switchsaddle::core {

namespace {

using ZoneCounts = std::map<std::string, std::size_t>;

ZoneCounts countZones(const std::vector<PlacedCore>& members) {
  ZoneCounts counts;
  for (const PlacedCore& core : members) {
    ++counts[core.zone];
  }
  return counts;
}

bool allZonesKnown(const std::vector<PlacedCore>& members) {
  return std::ranges::none_of(members, [](const PlacedCore& core) { return core.zone.empty(); });
}

/** @return whether a majority survives the loss of the `zones` zones with the most members. */
bool toleratesZoneLosses(const std::vector<PlacedCore>& members, std::uint32_t zones) {
  std::vector<std::size_t> sizes;
  for (const auto& [zone, count] : countZones(members)) {
    sizes.push_back(count);
  }
  std::ranges::sort(sizes, std::greater<>());
  std::size_t remaining = members.size();
  for (std::size_t index = 0; index < sizes.size() && index < zones; ++index) {
    remaining -= sizes[index];
  }
  return remaining > members.size() / 2;
}

/** @return the candidate whose zone has the fewest members; null without candidates. */
const PlacedCore* fewestInZone(const ZoneCounts& counts,
                               const std::vector<PlacedCore>& candidates) {
  const auto in_zone = [&counts](const PlacedCore& core) {
    const auto found = counts.find(core.zone);
    return found == counts.end() ? 0 : found->second;
  };
  const auto best = std::ranges::min_element(candidates, {}, in_zone);
  return best == candidates.end() ? nullptr : &*best;
}

}  // namespace

std::size_t requiredMembers(ToleratedLosses tolerated) {
  const std::size_t losses = std::max(tolerated.cores, tolerated.zones);
  return losses == 0 ? 0 : 2 * losses + 1;
}

std::optional<wire::AcceptorMember> memberToAdd(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates) {
  const PlacedCore* best = fewestInZone(countZones(members), candidates);
  return best == nullptr ? std::nullopt : std::optional(best->member);
}

std::optional<MemberExchange> exchangeForSpread(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates,
                                                ToleratedLosses tolerated) {
  if (!allZonesKnown(members) || toleratesZoneLosses(members, tolerated.zones)) {
    return std::nullopt;
  }
  const ZoneCounts counts = countZones(members);
  const PlacedCore* joining = fewestInZone(counts, candidates);
  const auto size_of = [&counts](const PlacedCore& core) { return counts.at(core.zone); };
  const auto leaving = std::ranges::max_element(members, {}, size_of);
  if (joining == nullptr || leaving == members.end()) {
    return std::nullopt;
  }
  const auto joined = counts.find(joining->zone);
  const std::size_t joined_size = joined == counts.end() ? 0 : joined->second;
  if (joined_size + 1 >= size_of(*leaving)) {
    return std::nullopt;
  }
  return MemberExchange{leaving->member, joining->member};
}

SpreadShortfall shortfallOf(const std::vector<PlacedCore>& members, ToleratedLosses tolerated) {
  if (members.size() < requiredMembers(tolerated)) {
    return SpreadShortfall::Cores;
  }
  const bool tolerates = !allZonesKnown(members) || toleratesZoneLosses(members, tolerated.zones);
  return tolerates ? SpreadShortfall::None : SpreadShortfall::Zones;
}

}  // namespace switchsaddle::core
