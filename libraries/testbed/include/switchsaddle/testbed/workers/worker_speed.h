#pragma once

#include <cstdint>

#include "switchsaddle/base/time.h"

namespace switchsaddle::testbed {

/** How fast a stand-in worker computes. Pure arithmetic, so that it can be tested by itself. */
struct WorkerSpeed {
  double prefill_tokens_per_s = 8'000.0;
  double decode_tokens_per_s = 60.0;
  /** Share by which each further running request slows the decoding of every one. */
  double slowdown_per_running = 0.02;
  /** How long after its start the process is cold. */
  base::Duration warm_up_period = std::chrono::seconds(5);
  /** Prefill takes this many times as long while cold. */
  double warm_up_factor = 4.0;

  /** Time to prefill tokens that aren't cached, `age` after the process started. */
  base::Duration prefillTime(std::uint64_t uncached_tokens, base::Duration age) const;
  /** Time for one output token while `running` requests share the worker. */
  base::Duration tokenTime(std::uint32_t running) const;
};

}  // namespace switchsaddle::testbed
