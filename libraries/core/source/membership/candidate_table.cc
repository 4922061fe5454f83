#include "switchsaddle/core/membership/candidate_table.h"

#include <algorithm>

namespace switchsaddle::core {

void CandidateTable::update(const wire::CoreAnnounce& announce, base::TimePoint now) {
  Candidate& candidate = candidates_[announce.member.instance];
  candidate.announce = announce;
  candidate.last_seen = now;
}

void CandidateTable::insert(const wire::CoreAnnounce& announce, base::TimePoint now) {
  candidates_[announce.member.instance] = {announce, now, {}};
}

void CandidateTable::removeExpired(base::TimePoint now) {
  std::erase_if(candidates_,
                [&](const auto& item) { return now - item.second.last_seen > lifetime_; });
}

bool CandidateTable::forwardedWithin(std::uint64_t instance, base::Duration interval,
                                     base::TimePoint now) const {
  const auto found = candidates_.find(instance);
  return found != candidates_.end() && found->second.forwarded_at &&
         now - *found->second.forwarded_at < interval;
}

void CandidateTable::noteForwarded(std::uint64_t instance, base::TimePoint now) {
  const auto found = candidates_.find(instance);
  if (found != candidates_.end()) {
    found->second.forwarded_at = now;
  }
}

std::vector<PlacedCore> CandidateTable::atOtherAddresses(const Members& members) const {
  std::vector<PlacedCore> candidates;
  for (const auto& [instance, candidate] : candidates_) {
    const wire::AcceptorMember& announced = candidate.announce.member;
    const bool is_member_address =
        std::ranges::find(members, announced.address, &wire::AcceptorMember::address) !=
        members.end();
    if (!is_member_address) {
      candidates.push_back({announced, candidate.announce.zone});
    }
  }
  return candidates;
}

std::optional<wire::AcceptorMember> CandidateTable::atAddress(const base::NodeAddress& address,
                                                              const Members& members) const {
  for (const auto& [instance, candidate] : candidates_) {
    const bool is_member =
        std::ranges::find(members, instance, &wire::AcceptorMember::instance) != members.end();
    if (candidate.announce.member.address == address && !is_member) {
      return candidate.announce.member;
    }
  }
  return std::nullopt;
}

}  // namespace switchsaddle::core
