#include "switchsaddle/admission/branch_holdings.h"

#include <limits>

namespace switchsaddle::admission {

Holding BranchHoldings::of(const FrontIdentity& front) const {
  const auto found = holdings_.find(front);
  return found == holdings_.end() ? Holding{} : found->second;
}

std::uint32_t BranchHoldings::held() const {
  std::uint32_t held = 0;
  for (const auto& [front, holding] : holdings_) {
    held += holding.held;
  }
  return held;
}

std::uint32_t BranchHoldings::inUseSince(base::TimePoint since) const {
  std::uint32_t in_use = 0;
  for (const auto& [front, holding] : holdings_) {
    const bool recent = holding.heard_at >= since;
    in_use += holding.confirmed && recent ? holding.in_use : 0;
  }
  return in_use;
}

std::vector<FrontIdentity> BranchHoldings::liveHolders() const {
  std::vector<FrontIdentity> fronts;
  for (const auto& [front, holding] : holdings_) {
    if (holding.held > 0 && !holding.ended_at) {
      fronts.push_back(front);
    }
  }
  return fronts;
}

void BranchHoldings::takeReservation(const FrontIdentity& front, std::uint32_t reserved,
                                     base::TimePoint now) {
  Holding holding;
  holding.held = reserved;
  holding.in_use = reserved;
  holding.heard_at = now;
  holdings_[front] = holding;
}

void BranchHoldings::noteTold(const FrontIdentity& front, const wire::SlotHolding& told,
                              base::TimePoint now) {
  holdings_[front] = Holding{told.sequence, told.held, told.in_use, true, now, {}};
}

std::uint32_t BranchHoldings::addGrant(const FrontIdentity& front, std::uint32_t slots) {
  Holding& holding = holdings_[front];
  holding.held += slots;
  return holding.held;
}

void BranchHoldings::noteEnded(const FrontIdentity& front, base::TimePoint now) {
  const auto found = holdings_.find(front);
  if (found == holdings_.end() || found->second.ended_at) {
    return;
  }
  found->second.sequence = std::numeric_limits<std::uint64_t>::max();
  found->second.confirmed = false;
  found->second.ended_at = now;
}

void BranchHoldings::dropEnded(base::TimePoint before) {
  std::erase_if(holdings_, [before](const auto& item) {
    const std::optional<base::TimePoint>& ended = item.second.ended_at;
    return ended && *ended <= before;
  });
}

void BranchHoldings::noteUnanswered(const FrontIdentity& front, base::TimePoint silent_since) {
  const auto found = holdings_.find(front);
  if (found == holdings_.end()) {
    return;
  }
  found->second.confirmed = false;
  if (found->second.heard_at < silent_since) {
    holdings_.erase(found);
  }
}

}  // namespace switchsaddle::admission
