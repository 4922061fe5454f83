#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** What the ledger counts for one front in one branch. */
struct Allocation {
  /** Of the latest message about it; 0 where this ledger knows it from the register only. */
  std::uint64_t sequence = 0;
  std::uint32_t held = 0;
  /** As the front told; grants are not added, for they may never arrive. */
  std::uint32_t in_use = 0;
  /** False until the front has told this ledger itself; `held` is then the reservation. */
  bool confirmed = false;
  base::TimePoint last_seen{};
  /** When the front's process was found to have ended. */
  std::optional<base::TimePoint> ended_at;
};

/**
 * What the fronts hold of one branch, as its ledger counts it: what each told last, and the grants
 * since. Invariant: a front counts for no less than it holds, so one whose process has ended or
 * that is silent keeps its count until its slots cannot be in use any more. Runs on the ledger's
 * strand.
 */
class BranchAllocations {
 public:
  bool contains(const FrontIdentity& front) const { return allocations_.contains(front); }
  /** An empty allocation where none is counted. */
  Allocation of(const FrontIdentity& front) const;
  /** Slots counted as held by all fronts. */
  std::uint32_t held() const;
  /** Slots in use by what the fronts themselves told at `since` or later. */
  std::uint32_t inUseSince(base::TimePoint since) const;
  /** Fronts that hold slots and whose process is not known to have ended. */
  std::vector<FrontIdentity> liveHolders() const;

  /** Counts all that is reserved as held and in use, until the front tells. */
  void adoptReservation(const FrontIdentity& front, std::uint32_t reserved, base::TimePoint now);
  /** The front told this; it replaces what was counted. */
  void recordReport(const FrontIdentity& front, const wire::SlotAllocation& told,
                    base::TimePoint now);
  /** Adds granted slots; returns what the front then counts for. */
  std::uint32_t addGrant(const FrontIdentity& front, std::uint32_t slots);
  void erase(const FrontIdentity& front) { allocations_.erase(front); }

  /** The front's process has ended; nothing it sent is believed any more, however late it comes. */
  void noteEnded(const FrontIdentity& front, base::TimePoint now);
  /** Drops the allocations of processes found ended at `before` or earlier. */
  void dropEnded(base::TimePoint before);
  /** The front did not answer; it holds nothing where it was last heard before
   * `unresponsive_since`. */
  void noteUnanswered(const FrontIdentity& front, base::TimePoint unresponsive_since);

 private:
  std::map<FrontIdentity, Allocation> allocations_;
};

}  // namespace switchsaddle::admission
