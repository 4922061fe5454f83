#include "quorum_tally.h"

#include <algorithm>

namespace switchsaddle::registers {

QuorumTally::QuorumTally(const wire::AcceptorSet& set, std::size_t quorum_size) {
  for (const auto* members : {&set.members, &set.previous}) {
    if (members == &set.members || !members->empty()) {
      const std::size_t majority = members->size() / 2 + 1;
      counts_.push_back({*members, quorum_size == 0 ? majority : quorum_size, 0, 0});
    }
  }
}

void QuorumTally::grant(const base::NodeAddress& address, std::uint64_t instance) {
  for (Count& count : counts_) {
    for (const wire::AcceptorMember& member : count.members) {
      if (member.address == address) {
        ++(member.instance == instance ? count.granted : count.failed);
      }
    }
  }
}

void QuorumTally::fail(const base::NodeAddress& address) {
  for (Count& count : counts_) {
    for (const wire::AcceptorMember& member : count.members) {
      if (member.address == address) {
        ++count.failed;
      }
    }
  }
}

bool QuorumTally::reached() const {
  return std::all_of(counts_.begin(), counts_.end(),
                     [](const Count& count) { return count.granted >= count.needed; });
}

bool QuorumTally::impossible() const {
  return std::any_of(counts_.begin(), counts_.end(), [](const Count& count) {
    return count.members.size() < count.failed + count.needed;
  });
}

}  // namespace switchsaddle::registers
