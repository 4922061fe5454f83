#include "switchsaddle/core/membership/core_membership.h"

#include <algorithm>

namespace switchsaddle::core {

namespace {

bool isMajority(const std::vector<wire::AcceptorMember>& members,
                const std::set<base::NodeAddress>& replied) {
  const auto count = std::count_if(
      members.begin(), members.end(),
      [&](const wire::AcceptorMember& member) { return replied.contains(member.address); });
  return static_cast<std::size_t>(count) * 2 > members.size();
}

}  // namespace

std::vector<base::NodeAddress> CoreMembership::coreAddresses() const {
  const wire::AcceptorSet& set = acceptor_.acceptorSet();
  std::set<base::NodeAddress> addresses;
  for (const wire::AcceptorMember& member : set.members) {
    addresses.insert(member.address);
  }
  for (const wire::AcceptorMember& member : set.previous) {
    addresses.insert(member.address);
  }
  return {addresses.begin(), addresses.end()};
}

std::vector<base::NodeAddress> CoreMembership::peerAddresses(const base::NodeAddress& self) const {
  std::vector<base::NodeAddress> peers = coreAddresses();
  std::erase(peers, self);
  return peers;
}

bool CoreMembership::quorum(const std::set<base::NodeAddress>& replied) const {
  const wire::AcceptorSet& set = acceptor_.acceptorSet();
  const bool previous_agrees = set.previous.empty() || isMajority(set.previous, replied);
  return previous_agrees && isMajority(set.members, replied);
}

bool CoreMembership::isMember() const {
  const std::vector<wire::AcceptorMember>& members = acceptor_.acceptorSet().members;
  return std::any_of(members.begin(), members.end(), [this](const auto& member) {
    return member.instance == acceptor_.instance();
  });
}

bool CoreMembership::joining() const {
  const std::vector<wire::AcceptorMember>& previous = acceptor_.acceptorSet().previous;
  return !previous.empty() &&
         std::none_of(previous.begin(), previous.end(), [this](const auto& member) {
           return member.instance == acceptor_.instance();
         });
}

void CoreMembership::noteAcceptedVersion(std::uint64_t version) {
  accepted_version_ = version;
}

}  // namespace switchsaddle::core
