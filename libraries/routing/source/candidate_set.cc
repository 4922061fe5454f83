#include "switchsaddle/routing/candidate_set.h"

#include <algorithm>

namespace switchsaddle::routing {

void CandidateSet::reset(std::span<const std::string> excluded, RankRange lane) {
  candidates_.clear();
  excluded_ = excluded;
  lane_ = lane;
}

bool CandidateSet::add(Arm& arm, std::uint32_t cached_tokens) {
  for (Candidate& known : candidates_) {
    if (known.arm == &arm) {
      known.cached_tokens = std::max(known.cached_tokens, cached_tokens);
      return false;
    }
  }
  if (!lane_.contains(arm.rank) || !arm.usable() || isExcluded(arm)) {
    return false;
  }
  candidates_.push_back(Candidate{&arm, cached_tokens});
  return true;
}

bool CandidateSet::isExcluded(const Arm& arm) const {
  return std::ranges::any_of(excluded_, [&arm](const std::string& id) {
    const bool is_prefill = arm.prefill->worker.entry.id == id;
    const bool is_decode = arm.decode && arm.decode->worker.entry.id == id;
    return is_prefill || is_decode;
  });
}

}  // namespace switchsaddle::routing
