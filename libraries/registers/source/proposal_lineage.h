#pragma once

#include <cstdint>
#include <vector>

#include "switchsaddle/wire/register_messages.h"

/**
 * @file
 * The lineage of a value: the ballots of the newest proposals it was built on, in ascending order
 * and without gaps. It shows whether a proposal was chosen that a quorum did not answer.
 */

namespace switchsaddle::registers {

/** How an accepted value relates to an earlier proposal. */
enum class Descent : std::uint8_t {
  /** The value is the proposal's or was built on it. */
  Included,
  /** The value was not built on it. */
  Excluded,
  /** The lineage does not go back far enough to decide. */
  Unknown,
};

/** @param accepted a prepare answer with the newest accepted value. */
Descent descentFrom(const wire::Ballot& proposal, const wire::RegisterReply& accepted);

/** @return the lineage of a value built on the accepted one. */
std::vector<wire::Ballot> extendLineage(const wire::RegisterReply& accepted);

}  // namespace switchsaddle::registers
