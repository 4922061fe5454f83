#include "switchsaddle/routing/cold_guard.h"

#include <algorithm>
#include <cmath>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

void ColdGuard::setFronts(const base::NodeAddress& self,
                          const std::vector<base::NodeAddress>& fronts) {
  self_hash_ = base::hashBytes(self.toString());
  other_hashes_.clear();
  for (const base::NodeAddress& front : fronts) {
    if (front != self) {
      other_hashes_.push_back(base::hashBytes(front.toString()));
    }
  }
}

bool ColdGuard::isCold(const ColdState& state, base::TimePoint now) const {
  const bool is_new = !state.present_at_start && now - state.first_seen < LongestGuard;
  return is_new && state.samples < WarmSamples;
}

bool ColdGuard::mayPlace(const ColdState& state, base::TimePoint now) const {
  if (!isCold(state, now)) {
    return true;
  }
  if (state.in_flight > 0) {
    return false;
  }
  const double age_s = std::chrono::duration<double>(now - state.first_seen).count();
  const double doublings = std::floor(age_s / std::chrono::duration<double>(DoublingTime).count());
  const double by_samples = std::max(1.0, state.samples);
  const double admitted = std::max(std::exp2(doublings), by_samples);
  return static_cast<double>(rankOfSelf(state.instance)) < admitted;
}

std::size_t ColdGuard::rankOfSelf(std::uint64_t instance) const {
  const std::uint64_t own = base::combineHashes(self_hash_, instance);
  return static_cast<std::size_t>(std::count_if(
      other_hashes_.begin(), other_hashes_.end(),
      [own, instance](std::uint64_t hash) { return base::combineHashes(hash, instance) > own; }));
}

}  // namespace switchsaddle::routing
