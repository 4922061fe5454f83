#include "switchsaddle/routing/others_load.h"

#include <algorithm>

namespace switchsaddle::routing {

void OthersLoad::set(const wire::FleetLoad& load, base::TimePoint now) {
  if (!load.known) {
    return;
  }
  told_ = true;
  told_at_ = now;
  loads_.clear();
  for (const wire::WorkerLoad& each : load.others) {
    loads_[each.worker] = each;
  }
}

OthersLoad::Load OthersLoad::of(std::uint32_t worker, base::TimePoint now) const {
  const auto found = loads_.find(worker);
  if (found == loads_.end() || !known(now)) {
    return {};
  }
  constexpr double SecondsPerMs = 1e-3;
  const double age_s = std::chrono::duration<double>(now - told_at_).count();
  const double told_s = found->second.prefill_ms * SecondsPerMs;
  return {static_cast<double>(found->second.requests), std::max(0.0, told_s - age_s)};
}

}  // namespace switchsaddle::routing
