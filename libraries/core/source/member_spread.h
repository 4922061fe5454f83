#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "switchsaddle/wire/control_messages.h"

/**
 * @file
 * Which core processes are to be acceptors, by what is to be borne: so many cores or zones lost at
 * once must leave a majority of the set. Without state of its own.
 */

namespace switchsaddle::core {

/** A core process and where it runs. */
struct PlacedCore {
  wire::AcceptorMember member;
  /** Empty while it is not known. */
  std::string zone;
};

/** What may be lost at once without the loss of the majority; either, not both together. */
struct ToleratedLosses {
  std::uint32_t cores = 0;
  std::uint32_t zones = 0;
};

/** One member that another core is to take the place of. */
struct MemberExchange {
  wire::AcceptorMember leaving;
  wire::AcceptorMember joining;
};

/** What an acceptor set lacks. */
enum class SpreadShortfall : std::uint8_t {
  None,
  /** It has too few members for the cores that may be lost. */
  Cores,
  /** The zones that may be lost can hold half of it. */
  Zones
};

/** Members that the losses ask for; zero where none are named, so that the set stays as founded. */
std::size_t wantedMembers(ToleratedLosses tolerated);

/** The candidate in the zone with the fewest members; nothing where there is no candidate. */
std::optional<wire::AcceptorMember> memberToAdd(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates);

/** An exchange that spreads the members more evenly, where the loss of zones would take the
 * majority. Repeated, it ends: each makes the largest zone smaller. */
std::optional<MemberExchange> exchangeForSpread(const std::vector<PlacedCore>& members,
                                                const std::vector<PlacedCore>& candidates,
                                                ToleratedLosses tolerated);

SpreadShortfall shortfallOf(const std::vector<PlacedCore>& members, ToleratedLosses tolerated);

}  // namespace switchsaddle::core
