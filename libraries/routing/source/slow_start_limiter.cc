#include "switchsaddle/routing/slow_start_limiter.h"

#include <algorithm>

#include "switchsaddle/base/hash.h"

namespace switchsaddle::routing {

void SlowStartLimiter::setFronts(const base::NodeAddress& self,
                                 const std::vector<base::NodeAddress>& fronts) {
  self_hash_ = base::hashBytes(self.toString());
  peer_hashes_.clear();
  for (const base::NodeAddress& front : fronts) {
    if (front != self) {
      peer_hashes_.push_back(base::hashBytes(front.toString()));
    }
  }
}

bool SlowStartLimiter::isWarmingUp(const SlowStartState& state, base::TimePoint now) const {
  if (state.rate_limit_per_s > 0) {
    return state.listed_warming_up || now < state.warming_up_until;
  }
  const base::Duration age = now - state.first_seen;
  if (state.present_at_start || age >= MaximumSlowStart) {
    return false;
  }
  return age < MinimumSlowStart || state.samples < WarmSamples;
}

bool SlowStartLimiter::mayPlace(const SlowStartState& state, std::uint32_t slots,
                                base::TimePoint now) const {
  if (!isWarmingUp(state, now)) {
    return true;
  }
  const bool too_soon = state.placed && now - state.last_placed < PlacementInterval;
  if (too_soon) {
    return false;
  }
  if (state.rate_limit_per_s > 0) {
    return sharesRateLimit(state);
  }
  return state.in_flight == 0 &&
         rankOfSelf(state.instance) < admittedFronts(now - state.first_seen, slots);
}

bool SlowStartLimiter::sharesRateLimit(const SlowStartState& state) const {
  const double placements_per_s = 1.0 / std::chrono::duration<double>(PlacementInterval).count();
  const auto admitted = static_cast<std::size_t>(state.rate_limit_per_s / placements_per_s);
  return rankOfSelf(state.instance) < std::max<std::size_t>(1, admitted);
}

std::size_t SlowStartLimiter::admittedFronts(base::Duration age, std::uint32_t slots) {
  return age >= MinimumSlowStart ? std::max(1U, slots) : std::size_t{1} << (age / DoublingTime);
}

std::size_t SlowStartLimiter::rankOfSelf(std::uint64_t instance) const {
  const std::uint64_t own = base::combineHashes(self_hash_, instance);
  return static_cast<std::size_t>(std::count_if(
      peer_hashes_.begin(), peer_hashes_.end(),
      [own, instance](std::uint64_t hash) { return base::combineHashes(hash, instance) > own; }));
}

}  // namespace switchsaddle::routing
