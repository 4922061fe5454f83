#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/wire/control_messages.h"

/**
 * @file
 * Selects the core processes that are acceptors by the losses to tolerate: a majority of the set
 * must survive the simultaneous loss of a number of cores or of zones. Pure functions.
 */

namespace switchsaddle::core {

/** A core process and its failure domain. */
struct PlacedCore {
  wire::AcceptorMember member;
  /** Empty while unknown. */
  std::string zone;
};

/** Numbers of cores or of zones, not both together, whose simultaneous loss must leave a
 * majority. */
struct ToleratedLosses {
  std::uint32_t cores = 0;
  std::uint32_t zones = 0;
};

/** The replacement of one member by another core. */
struct MemberExchange {
  wire::AcceptorMember leaving;
  wire::AcceptorMember joining;
};

/** Why an acceptor set does not tolerate the losses. */
enum class SpreadShortfall : std::uint8_t {
  None,
  /** It has too few members. */
  Cores,
  /** Half of its members run in the zones that may be lost. */
  Zones
};

/** @return the number of members that the losses require; zero if no losses are configured. */
std::size_t requiredMembers(ToleratedLosses tolerated);

/** @return the candidate in the zone with the fewest members; std::nullopt without candidates. */
std::optional<wire::AcceptorMember> memberToAdd(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates);

/**
 * @return an exchange that spreads the members more evenly over zones, if the loss of zones would
 * lose the majority; std::nullopt if there is no such exchange or a zone is unknown. Repeated
 * exchanges terminate, since each replaces a member in the largest zone by one in a zone that has
 * at least two members fewer.
 */
std::optional<MemberExchange> exchangeForSpread(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates,
                                                ToleratedLosses tolerated);

/** @return the shortfall of the set; None also while the zone of some member is unknown. */
SpreadShortfall shortfallOf(const std::vector<PlacedCore>& members, ToleratedLosses tolerated);

}  // namespace switchsaddle::core
