#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "switchsaddle/admission/branch_allocations.h"
#include "switchsaddle/admission/queued_slot_request.h"

namespace switchsaddle::admission {

/** The state of one branch at its ledger. */
struct BranchState {
  BranchAllocations allocations;
  /** Requests that no slots were free for, in the order of their arrival. */
  std::deque<QueuedSlotRequest> queue;
  bool recalling = false;
  /** Recalls of the branch in flight. */
  std::uint32_t pending_recalls = 0;
};

/**
 * The limits and states of a ledger's branches, and the effect of the fronts' reports on them. Runs
 * on the ledger's strand.
 */
class BranchTable {
 public:
  using Limits = std::map<std::string, std::uint32_t>;

  /** @param order_by_sequence false only in tests: overtaken reports are then accepted. */
  explicit BranchTable(bool order_by_sequence) : order_by_sequence_(order_by_sequence) {}

  void setLimits(Limits limits) { limits_ = std::move(limits); }
  const Limits& limits() const { return limits_; }
  /** @return the state of a branch; creates it if there is none. */
  BranchState& operator[](const std::string& branch) { return states_[branch]; }
  const std::map<std::string, BranchState>& states() const { return states_; }
  /** Drops the states; the limits stay. */
  void clear() { states_.clear(); }

  bool isAllocated(const FrontIdentity& front, const std::string& branch) const;
  /** @return the slots allocated to all fronts; at least those in use. */
  std::uint32_t allocatedSlots(const std::string& branch) const;
  /** @return the slots below the limit; 0 for a branch without a limit. */
  std::uint32_t freeSlots(const std::string& branch) const;
  /** @return whether reports of `since` or later prove every slot to be in use. */
  bool isExhausted(const std::string& branch, base::TimePoint since) const;

  /** @return whether a message with the sequence was overtaken by a later one. */
  bool isStale(const Allocation& allocation, std::uint64_t sequence) const {
    return order_by_sequence_ && sequence <= allocation.sequence;
  }
  /**
   * Applies a front's report.
   *
   * @param branch the branch that was recalled; empty: all branches.
   */
  void applyReport(const FrontIdentity& front, const wire::SlotReport& report,
                   const std::string& branch, base::TimePoint now);
  /** Records that the front's process has ended. */
  void noteEnded(const FrontIdentity& front, base::TimePoint now);

 private:
  void applyReportTo(BranchState& state, const std::string& branch, const FrontIdentity& front,
                     const wire::SlotReport& report, base::TimePoint now);

  bool order_by_sequence_;
  Limits limits_;
  std::map<std::string, BranchState> states_;
};

}  // namespace switchsaddle::admission
