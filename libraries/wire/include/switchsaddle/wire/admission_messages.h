#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Fleet-wide slots of the share tree, granted to fronts by a limit ledger and recalled when needed.
 * A front numbers everything it tells of a branch; a grant counts only while nothing later was
 * told.
 */

namespace switchsaddle::wire {

/** Front to ledger: what it holds of a branch now, and how many slots more it wants (0 to give
 * back). */
struct SlotRequest {
  std::string branch;
  std::uint64_t front_instance = 0;
  base::NodeAddress front;
  std::uint64_t sequence = 0;
  std::uint32_t held = 0;
  std::uint32_t in_use = 0;
  std::uint32_t wanted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, front_instance, front, sequence, held, in_use, wanted);
  }
};

/** The ledger's answer. */
struct SlotReply {
  /** False where the asked node does not hold the ledger's lease; `ledger` may then name it. */
  bool is_ledger = false;
  base::NodeAddress ledger;
  std::uint64_t term = 0;
  /** The last one the front told of the branch: the request's, or that of a report since. */
  std::uint64_t sequence = 0;
  std::uint32_t granted = 0;
  /** Every slot of the branch is known to be in use. */
  bool exhausted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_ledger, ledger, term, sequence, granted, exhausted);
  }
};

/** Ledger to front: give back idle slots and tell what is held; an empty branch means all of the
 * shard. */
struct SlotRecall {
  std::uint64_t term = 0;
  std::uint32_t shard = 0;
  std::string branch;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, shard, branch);
  }
};

/** What a front holds of one branch. */
struct SlotAllocation {
  std::string branch;
  std::uint64_t sequence = 0;
  std::uint32_t held = 0;
  std::uint32_t in_use = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, sequence, held, in_use);
  }
};

/** Answer to a recall. A branch that is not listed is not held. */
struct SlotReport {
  std::uint64_t front_instance = 0;
  /** False where the recall's term was older than one this front has heard of. */
  bool term_accepted = false;
  std::vector<SlotAllocation> allocations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(front_instance, term_accepted, allocations);
  }
};

}  // namespace switchsaddle::wire
