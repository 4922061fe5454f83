#include "switchsaddle/testbed/workers/worker_speed.h"

#include <algorithm>

namespace switchsaddle::testbed {
namespace {

base::Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

base::Duration WorkerSpeed::prefillTime(std::uint64_t uncached_tokens, base::Duration age) const {
  const double factor = age < warm_up_period ? warm_up_factor : 1.0;
  return fromSeconds(static_cast<double>(uncached_tokens) * factor / prefill_tokens_per_s);
}

base::Duration WorkerSpeed::tokenTime(std::uint32_t running) const {
  const std::uint32_t others = std::max(running, 1U) - 1U;
  return fromSeconds((1.0 + slowdown_per_running * others) / decode_tokens_per_s);
}

}  // namespace switchsaddle::testbed
