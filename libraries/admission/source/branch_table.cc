#include "switchsaddle/admission/branch_table.h"

#include <algorithm>

namespace switchsaddle::admission {

namespace {

/** Queued requests stay valid after a later report, but their grants must be based on it. */
void rebaseQueue(BranchState& state, const FrontIdentity& front,
                 const wire::SlotAllocation& report) {
  for (QueuedSlotRequest& queued : state.queue) {
    if (queued.front() == front) {
      queued.request.sequence = report.sequence;
      queued.request.allocated = report.allocated;
      queued.request.in_use = report.in_use;
    }
  }
}

}  // namespace

bool BranchTable::isAllocated(const FrontIdentity& front, const std::string& branch) const {
  const auto state = states_.find(branch);
  return state != states_.end() && state->second.allocations.contains(front);
}

std::uint32_t BranchTable::allocatedSlots(const std::string& branch) const {
  const auto state = states_.find(branch);
  return state == states_.end() ? 0 : state->second.allocations.allocated();
}

std::uint32_t BranchTable::freeSlots(const std::string& branch) const {
  const auto limit = limits_.find(branch);
  if (limit == limits_.end()) {
    return 0;
  }
  const std::uint32_t allocated = allocatedSlots(branch);
  return limit->second > allocated ? limit->second - allocated : 0;
}

bool BranchTable::isExhausted(const std::string& branch, base::TimePoint since) const {
  const auto state = states_.find(branch);
  const auto limit = limits_.find(branch);
  return state != states_.end() && limit != limits_.end() &&
         state->second.allocations.inUseSince(since) >= limit->second;
}

void BranchTable::applyReport(const FrontIdentity& front, const wire::SlotReport& report,
                              const std::string& branch, base::TimePoint now) {
  for (auto& [path, state] : states_) {
    const bool is_recalled = branch.empty() || branch == path;
    if (is_recalled && state.allocations.contains(front)) {
      applyReportTo(state, path, front, report, now);
    }
  }
}

void BranchTable::applyReportTo(BranchState& state, const std::string& branch,
                                const FrontIdentity& front, const wire::SlotReport& report,
                                base::TimePoint now) {
  const Allocation counted = state.allocations.of(front);
  const auto reported =
      std::ranges::find(report.allocations, branch, &wire::SlotAllocation::branch);
  if (reported == report.allocations.end()) {
    // Without the branch the report is older than any request about it.
    if (counted.sequence == 0) {
      state.allocations.erase(front);
    }
  } else if (!isStale(counted, reported->sequence)) {
    state.allocations.recordReport(front, *reported, now);
    rebaseQueue(state, front, *reported);
  }
}

void BranchTable::noteEnded(const FrontIdentity& front, base::TimePoint now) {
  for (auto& [branch, state] : states_) {
    state.allocations.noteEnded(front, now);
  }
}

}  // namespace switchsaddle::admission
