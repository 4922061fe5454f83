#include "switchsaddle/admission/branch_allocations.h"

#include <limits>

namespace switchsaddle::admission {

Allocation BranchAllocations::of(const FrontIdentity& front) const {
  const auto found = allocations_.find(front);
  return found == allocations_.end() ? Allocation{} : found->second;
}

std::uint32_t BranchAllocations::allocated() const {
  std::uint32_t allocated = 0;
  for (const auto& [front, allocation] : allocations_) {
    allocated += allocation.allocated;
  }
  return allocated;
}

std::uint32_t BranchAllocations::inUseSince(base::TimePoint since) const {
  std::uint32_t in_use = 0;
  for (const auto& [front, allocation] : allocations_) {
    const bool recent = allocation.last_seen >= since;
    in_use += allocation.confirmed && recent ? allocation.in_use : 0;
  }
  return in_use;
}

std::vector<FrontIdentity> BranchAllocations::liveFronts() const {
  std::vector<FrontIdentity> fronts;
  for (const auto& [front, allocation] : allocations_) {
    if (allocation.allocated > 0 && !allocation.ended_at) {
      fronts.push_back(front);
    }
  }
  return fronts;
}

void BranchAllocations::adoptReservation(const FrontIdentity& front, std::uint32_t reserved,
                                         base::TimePoint now) {
  Allocation allocation;
  allocation.allocated = reserved;
  allocation.in_use = reserved;
  allocation.last_seen = now;
  allocations_[front] = allocation;
}

void BranchAllocations::recordReport(const FrontIdentity& front, const wire::SlotAllocation& report,
                                     base::TimePoint now) {
  allocations_[front] = Allocation{report.sequence, report.allocated, report.in_use, true, now, {}};
}

std::uint32_t BranchAllocations::addGrant(const FrontIdentity& front, std::uint32_t slots) {
  Allocation& allocation = allocations_[front];
  allocation.allocated += slots;
  return allocation.allocated;
}

void BranchAllocations::noteEnded(const FrontIdentity& front, base::TimePoint now) {
  const auto found = allocations_.find(front);
  if (found == allocations_.end() || found->second.ended_at) {
    return;
  }
  found->second.sequence = std::numeric_limits<std::uint64_t>::max();
  found->second.confirmed = false;
  found->second.ended_at = now;
}

void BranchAllocations::dropEnded(base::TimePoint before) {
  std::erase_if(allocations_, [before](const auto& item) {
    const std::optional<base::TimePoint>& ended = item.second.ended_at;
    return ended && *ended <= before;
  });
}

void BranchAllocations::noteTimedOut(const FrontIdentity& front,
                                     base::TimePoint unresponsive_since) {
  const auto found = allocations_.find(front);
  if (found == allocations_.end()) {
    return;
  }
  found->second.confirmed = false;
  if (found->second.last_seen < unresponsive_since) {
    allocations_.erase(found);
  }
}

}  // namespace switchsaddle::admission
