#include "switchsaddle/routing/peer_load.h"

#include <algorithm>

namespace switchsaddle::routing {

void PeerLoad::set(const wire::FleetLoad& load, base::TimePoint now) {
  if (!load.known) {
    return;
  }
  reported_ = true;
  reported_at_ = now;
  unlisted_mean_requests_ = load.unlisted_mean_requests;
  unlisted_mean_prefill_ms_ = load.unlisted_mean_prefill_ms;
  loads_.clear();
  for (const wire::WorkerLoad& each : load.peer_loads) {
    loads_[each.worker] = each;
  }
}

PeerLoad::Load PeerLoad::of(std::uint32_t worker, base::TimePoint now) const {
  if (!known(now)) {
    return {};
  }
  constexpr double SecondsPerMs = 1e-3;
  const auto found = loads_.find(worker);
  const bool is_listed = found != loads_.end();
  const double requests = is_listed ? found->second.requests : unlisted_mean_requests_;
  const double prefill_ms = is_listed ? found->second.prefill_ms : unlisted_mean_prefill_ms_;
  const double age_s = std::chrono::duration<double>(now - reported_at_).count();
  return {requests, std::max(0.0, prefill_ms * SecondsPerMs - age_s)};
}

}  // namespace switchsaddle::routing
