#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "switchsaddle/base/node_address.h"

/**
 * @file
 * Messages of the fleet-wide concurrency limits: slots of the share tree's branches, allocated to
 * fronts by the limit ledger of a shard and recalled when the ledger needs them.
 *
 * Invariant: a front numbers its requests and reports of a branch with one increasing sequence. A
 * grant is valid only while its sequence is the last one that the front has sent for that branch.
 */

namespace switchsaddle::wire {

/** Front to ledger: states the front's allocation of a branch and requests more slots. */
struct SlotRequest {
  /** Path of the branch in the share tree. */
  std::string branch;
  /** Random instance id of the front process. */
  std::uint64_t front_instance = 0;
  base::NodeAddress front;
  /** Increases with each request and report of the front for this branch. */
  std::uint64_t sequence = 0;
  /** Slots allocated to the front, in use or idle. */
  std::uint32_t allocated = 0;
  /** Allocated slots that admitted requests occupy. */
  std::uint32_t in_use = 0;
  /** Additional slots requested; 0 only reports or releases. */
  std::uint32_t requested = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, front_instance, front, sequence, allocated, in_use, requested);
  }
};

/** Ledger to front: reply to SlotRequest. */
struct SlotReply {
  /** False if the addressed node does not hold the ledger's lease. */
  bool is_ledger = false;
  /** Lease holder in the view of the answering node; unset if there is none. */
  base::NodeAddress ledger;
  /** Term of the ledger's lease. */
  std::uint64_t term = 0;
  /** Last sequence received from the front for the branch: the request's, or a later report's. */
  std::uint64_t sequence = 0;
  /** Slots added to the front's allocation. */
  std::uint32_t granted = 0;
  /** All slots of the branch are in use by admitted requests. */
  bool exhausted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_ledger, ledger, term, sequence, granted, exhausted);
  }
};

/** Ledger to front: requests the release of idle slots and a report of the allocation. */
struct SlotRecall {
  /** Term of the ledger's lease; a front rejects a recall of an older term. */
  std::uint64_t term = 0;
  /** Shard of the limit ledger that sends the recall. */
  std::uint32_t shard = 0;
  /** The branch to report; empty for all branches of the shard. */
  std::string branch;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, shard, branch);
  }
};

/** Slots of one branch allocated to one front. */
struct SlotAllocation {
  std::string branch;
  /** Sequence of this report; see SlotRequest::sequence. */
  std::uint64_t sequence = 0;
  /** Slots allocated to the front, in use or idle. */
  std::uint32_t allocated = 0;
  /** Allocated slots that admitted requests occupy. */
  std::uint32_t in_use = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(branch, sequence, allocated, in_use);
  }
};

/** Front to ledger: reply to SlotRecall. */
struct SlotReport {
  /** Random instance id of the front process. */
  std::uint64_t front_instance = 0;
  /** False if the recall's term is older than the highest one the front has received. */
  bool term_accepted = false;
  /** The front's allocations; it has no slots of a recalled branch that is not listed. */
  std::vector<SlotAllocation> allocations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(front_instance, term_accepted, allocations);
  }
};

}  // namespace switchsaddle::wire
