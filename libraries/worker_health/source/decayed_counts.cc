#include "switchsaddle/worker_health/decayed_counts.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "switchsaddle/base/hash.h"
#include "switchsaddle/worker_health/dispatch_sample.h"

namespace switchsaddle::worker_health {

namespace {

wire::HealthCounts scaled(const wire::HealthCounts& counts, double factor) {
  wire::HealthCounts result;
  addCounts(result, counts, factor);
  return result;
}

}  // namespace

double decayFactor(base::Duration elapsed, base::Duration half_life) {
  const double half_lives =
      std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(half_life);
  return std::exp2(-std::max(0.0, half_lives));
}

std::uint64_t workerKey(const wire::WorkerEntry& entry) {
  return base::combineHashes(base::hashBytes(entry.id), entry.instance);
}

std::uint64_t poolKey(const std::string& pool) {
  return base::hashBytes(pool);
}

void addCounts(wire::HealthCounts& sum, const wire::HealthCounts& counts, double factor) {
  const auto scale = static_cast<float>(factor);
  sum.dispatched += counts.dispatched * scale;
  sum.failed += counts.failed * scale;
  sum.timed += counts.timed * scale;
  sum.stalled += counts.stalled * scale;
  sum.slow += counts.slow * scale;
  sum.long_prompts += counts.long_prompts * scale;
  sum.stream_s += counts.stream_s * scale;
}

double decayedSeconds(base::Duration elapsed) {
  const double half_life_s = std::chrono::duration<double>(LongHalfLife).count();
  return half_life_s / std::numbers::ln2 * (1 - decayFactor(elapsed, LongHalfLife));
}

double DecayedCounts::recentFactor(base::TimePoint now) const {
  return decayFactor(now - decayed_at_, RecentHalfLife);
}

void DecayedCounts::add(const wire::HealthCounts& counts, base::TimePoint now) {
  counts_ = this->counts(now);
  recent_dispatched_ = recentDispatched(now);
  recent_failed_ = recentFailed(now);
  decayed_at_ = now;
  addCounts(counts_, counts);
  recent_dispatched_ += counts.dispatched;
  recent_failed_ += counts.failed;
}

wire::HealthCounts DecayedCounts::counts(base::TimePoint now) const {
  return scaled(counts_, decayFactor(now - decayed_at_, LongHalfLife));
}

double DecayedCounts::recentDispatched(base::TimePoint now) const {
  return recent_dispatched_ * recentFactor(now);
}

double DecayedCounts::recentFailed(base::TimePoint now) const {
  return recent_failed_ * recentFactor(now);
}

}  // namespace switchsaddle::worker_health
