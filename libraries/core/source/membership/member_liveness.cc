#include "switchsaddle/core/membership/member_liveness.h"

#include <algorithm>

namespace switchsaddle::core {

void MemberLiveness::setMembers(const Members& members, base::TimePoint now) {
  const auto has_left = [&members](const auto& item) {
    return std::ranges::find(members, item.first.instance, &wire::AcceptorMember::instance) ==
           members.end();
  };
  std::erase_if(last_seen_, has_left);
  std::erase_if(zones_, has_left);
  for (const wire::AcceptorMember& member : members) {
    last_seen_.try_emplace(member, now);
  }
}

void MemberLiveness::noteAlive(const wire::AcceptorMember& member, const std::string& zone,
                               base::TimePoint now) {
  last_seen_[member] = now;
  zones_[member] = zone;
}

void MemberLiveness::noteEnded(const wire::AcceptorMember& member, base::TimePoint now) {
  last_seen_[member] = now - timeout_;
}

std::vector<PlacedCore> MemberLiveness::placed(const Members& members,
                                               const wire::AcceptorMember* excluded) const {
  std::vector<PlacedCore> placed;
  for (const wire::AcceptorMember& member : members) {
    if (excluded != nullptr && member == *excluded) {
      continue;
    }
    const auto zone = zones_.find(member);
    placed.push_back({member, zone == zones_.end() ? std::string{} : zone->second});
  }
  return placed;
}

}  // namespace switchsaddle::core
