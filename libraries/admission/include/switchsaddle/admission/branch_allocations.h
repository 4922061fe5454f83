#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/admission_messages.h"

namespace switchsaddle::admission {

/** The slots of one branch that the ledger counts for one front. */
struct Allocation {
  /** Sequence number of the latest message about it; 0 if it is known only from the reservation. */
  std::uint64_t sequence = 0;
  std::uint32_t allocated = 0;
  /** As the front reported; grants are not added, since they may be lost. */
  std::uint32_t in_use = 0;
  /** False until the front reported to this ledger; `allocated` is then the reservation. */
  bool confirmed = false;
  base::TimePoint last_seen{};
  /** When the front's process was found to have ended. */
  std::optional<base::TimePoint> ended_at;
};

/**
 * The slots of one branch allocated to fronts, as its ledger counts them: the last report of each
 * front, and the grants since. Invariant: a front counts for at least the slots allocated to it, so
 * that a front that has ended or is unresponsive keeps its count until its slots can no longer be
 * in use. Runs on the ledger's strand.
 */
class BranchAllocations {
 public:
  bool contains(const FrontIdentity& front) const { return allocations_.contains(front); }
  /** @return the front's allocation, an empty one if none is counted. */
  Allocation of(const FrontIdentity& front) const;
  /** @return the slots allocated to all fronts. */
  std::uint32_t allocated() const;
  /** @return the slots in use by the fronts' own reports of `since` or later. */
  std::uint32_t inUseSince(base::TimePoint since) const;
  /** @return the fronts with slots whose process is not known to have ended. */
  std::vector<FrontIdentity> liveFronts() const;

  /** Counts a reservation as allocated and in use, until the front reports. */
  void adoptReservation(const FrontIdentity& front, std::uint32_t reserved, base::TimePoint now);
  /** Replaces the front's allocation by its report. */
  void recordReport(const FrontIdentity& front, const wire::SlotAllocation& report,
                    base::TimePoint now);
  /** Adds granted slots. @return what the front then counts for. */
  std::uint32_t addGrant(const FrontIdentity& front, std::uint32_t slots);
  void erase(const FrontIdentity& front) { allocations_.erase(front); }

  /** Records that the front's process has ended; its messages that arrive later are ignored. */
  void noteEnded(const FrontIdentity& front, base::TimePoint now);
  /** Drops the allocations of processes found to have ended at `before` or earlier. */
  void dropEnded(base::TimePoint before);
  /** Records that a recall timed out; drops the allocation if it was last seen before the given
   * time. */
  void noteTimedOut(const FrontIdentity& front, base::TimePoint unresponsive_since);

 private:
  std::map<FrontIdentity, Allocation> allocations_;
};

}  // namespace switchsaddle::admission
