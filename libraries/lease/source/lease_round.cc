#include "lease_round.h"

#include <algorithm>

namespace switchsaddle::lease {

void LeaseRound::addRejection(const base::NodeAddress& granter, const wire::LeaseReply& reply) {
  rejected_by_.insert(granter);
  const base::Duration remaining = std::chrono::milliseconds(reply.remaining_ms);
  if (remaining > base::Duration::zero()) {
    rejected_for_[reply.holder].insert(granter);
  }
  longest_remaining_ = std::max(longest_remaining_, remaining);
}

bool LeaseRound::isContested(const wire::LeaseReply& reply,
                             const base::NodeAddress& candidate) const {
  const bool is_rivals = !reply.holder.empty() && reply.holder != candidate;
  const bool never_grants = reply.term > term_ || (reply.term == term_ && is_rivals);
  return never_grants && reply.remaining_ms == 0;
}

base::Duration LeaseRound::rivalRemaining(const GranterSet& granters) const {
  const bool rival_holds =
      std::any_of(rejected_for_.begin(), rejected_for_.end(),
                  [&granters](const auto& item) { return granters.quorum(item.second); });
  // If the granters are split between rivals, all of them release their grants, so that the
  // remaining times of these grants are irrelevant.
  const bool is_split = !rival_holds && granters.quorum(answered_by_);
  return is_split ? base::Duration::zero() : longest_remaining_;
}

}  // namespace switchsaddle::lease
