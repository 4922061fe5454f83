#include "refusal_grace.h"

#include <algorithm>

namespace switchsaddle::sessions {

namespace {

/** How long a refusal counts, from the time of the request. Must be below the recovery time of a
 * restarted core (SessionTimes::core_limit). */
constexpr base::Duration RefusalLifetime = std::chrono::seconds(1);

}  // namespace

void RefusalGrace::addRefusal(const base::NodeAddress& core, base::TimePoint requested_at) {
  refusals_[core] = requested_at;
}

void RefusalGrace::removeRefusal(const base::NodeAddress& core) {
  refusals_.erase(core);
  end();
}

std::optional<base::TimePoint> RefusalGrace::majorityRefusesUntil(
    const std::vector<base::NodeAddress>& cores) const {
  std::vector<base::TimePoint> requested_at;
  for (const base::NodeAddress& core : cores) {
    const auto refusal = refusals_.find(core);
    if (refusal != refusals_.end()) {
      requested_at.push_back(refusal->second);
    }
  }
  const std::size_t majority = cores.size() / 2 + 1;
  if (requested_at.size() < majority) {
    return std::nullopt;
  }
  std::sort(requested_at.rbegin(), requested_at.rend());
  return requested_at[majority - 1] + RefusalLifetime;
}

}  // namespace switchsaddle::sessions
