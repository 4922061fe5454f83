#include "switchsaddle/routing/scout_policy.h"

#include <algorithm>

namespace switchsaddle::routing {

namespace {

/** Arms kept in a pool's scout list. */
constexpr std::size_t ScoutListSize = 8;
constexpr base::Duration ScoutListLifetime = std::chrono::milliseconds(250);
/** Minimum interval between scouts of one arm by all fronts together. */
constexpr base::Duration ScoutInterval = std::chrono::milliseconds(250);

}  // namespace

bool ScoutPolicy::isAdmitted(const Arm& arm) const {
  if (!context_.options.slow_start_limiter) {
    return true;
  }
  const base::TimePoint now = context_.now();
  const auto admits = [this, now](const WorkerRecord& worker) {
    return context_.slow_start_limiter.mayPlace(worker.slow_start, worker.slots, now);
  };
  return admits(*arm.prefill) && (!arm.decode || admits(*arm.decode));
}

bool ScoutPolicy::isDue(const Arm& arm) const {
  const base::Duration interval = ScoutInterval * static_cast<std::int64_t>(context_.fronts);
  const bool spaced = context_.options.slow_start_limiter && context_.fronts > 1 && arm.scouted;
  return !spaced || context_.now() - arm.scouted_at >= interval;
}

Arm* ScoutPolicy::nextScout(ModelPool& pool, const CandidateSet& candidates) const {
  refresh(pool);
  const auto next = std::ranges::find_if(pool.scouts.arms, [&](const Arm* arm) {
    return isScoutable(pool, *arm) && !candidates.isExcluded(*arm);
  });
  return next == pool.scouts.arms.end() ? nullptr : *next;
}

bool ScoutPolicy::isScoutable(const ModelPool& pool, const Arm& arm) const {
  return context_.statusOf(pool, arm) != ArmStatus::Proven && isAdmitted(arm);
}

void ScoutPolicy::refresh(ModelPool& pool) const {
  ScoutList& scouts = pool.scouts;
  const base::TimePoint now = context_.now();
  if (scouts.epoch == pool.epoch && now - scouts.refreshed_at < ScoutListLifetime) {
    return;
  }
  scouts.epoch = pool.epoch;
  scouts.refreshed_at = now;
  scouts.arms.clear();
  for (const ArmPtr& arm : pool.arms) {
    if (isScoutable(pool, *arm)) {
      scouts.arms.push_back(arm.get());
    }
  }
  const double half_life_s = context_.tuning.route_stats_half_life_s;
  const auto is_measured_less = [&](const Arm* first, const Arm* second) {
    const double first_mass = first->statistics.mass(now, half_life_s);
    const double second_mass = second->statistics.mass(now, half_life_s);
    // Each front scouts arms of equal mass in an order of its own.
    return first_mass != second_mass ? first_mass < second_mass
                                     : (first->hash ^ self_hash_) < (second->hash ^ self_hash_);
  };
  const std::size_t kept = std::min(ScoutListSize, scouts.arms.size());
  const auto end_of_kept = scouts.arms.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(scouts.arms.begin(), end_of_kept, scouts.arms.end(), is_measured_less);
  scouts.arms.resize(kept);
}

}  // namespace switchsaddle::routing
