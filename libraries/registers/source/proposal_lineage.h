#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * Lineages: each value carries the ballots of the newest proposals it was built on, in ascending
 * order and without gaps. They show whether a proposal that was not answered by a quorum was
 * chosen.
 */

namespace switchsaddle::registers {

/** How an accepted value relates to an earlier proposal. */
enum class Descent : std::uint8_t {
  /** The value is the proposal's or was built on it. */
  Included,
  /** The value was not built on it. */
  Excluded,
  /** The lineage does not reach back far enough. */
  Unknown,
};

/** @param accepted a prepare answer with the newest accepted value. */
Descent descentFrom(const wire::Ballot& proposal, const wire::RegisterReply& accepted);

/** @return the lineage of a value built on the accepted one. */
std::vector<wire::Ballot> extendLineage(const wire::RegisterReply& accepted);

}  // namespace switchsaddle::registers
