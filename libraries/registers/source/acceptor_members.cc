#include "acceptor_members.h"

#include <algorithm>
#include <set>

namespace switchsaddle::registers {

bool containsInstance(const std::vector<wire::AcceptorMember>& members, std::uint64_t instance) {
  return std::any_of(members.begin(), members.end(),
                     [instance](const auto& member) { return member.instance == instance; });
}

bool containsInstance(const wire::AcceptorSet& set, std::uint64_t instance) {
  return containsInstance(set.members, instance) || containsInstance(set.previous, instance);
}

bool containsMember(const std::vector<wire::AcceptorMember>& members,
                    const wire::AcceptorMember& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

std::vector<base::NodeAddress> memberAddresses(const wire::AcceptorSet& set) {
  std::set<base::NodeAddress> addresses;
  for (const auto* members : {&set.members, &set.previous}) {
    for (const wire::AcceptorMember& member : *members) {
      addresses.insert(member.address);
    }
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace switchsaddle::registers
