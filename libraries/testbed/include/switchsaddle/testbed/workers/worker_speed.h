#pragma once

#include <cstdint>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** Model of a worker's speed. Its functions are pure, so that they can be tested in isolation. */
struct WorkerSpeed {
  double prefill_tokens_per_s = 8'000.0;
  double decode_tokens_per_s = 60.0;
  /** Fraction by which each additional running request slows decoding for all of them. */
  double slowdown_per_running = 0.02;
  /** Time after its start in which the process warms up and its prefill is slower. */
  base::Duration warm_up_period = std::chrono::seconds(5);
  /** Factor on the prefill time during the warm-up period. */
  double warm_up_factor = 4.0;

  /** Time to prefill tokens that are not cached, `age` after the process started. */
  base::Duration prefillTime(std::uint64_t uncached_tokens, base::Duration age) const;
  /** Time for one output token while `running` requests share the worker. */
  base::Duration tokenTime(std::uint32_t running) const;
};

}  // namespace switchsaddle::testbed
