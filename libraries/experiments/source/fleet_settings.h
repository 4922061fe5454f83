#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/time.h"
#include "switchsaddle/testbed/workers/worker_speed.h"

namespace switchsaddle::experiments {

/** Sizes, load and speeds of a modelled fleet. */
struct FleetSettings {
  std::string policy = "ours";
  std::uint32_t fronts = 6;
  std::uint32_t workers = 9;
  double streams_per_s = 35;
  /** Number of models; each worker serves one. */
  std::uint32_t models = 1;
  std::uint32_t families_per_worker = 20;
  double zipf_exponent = 1.0;
  std::uint32_t slots = 16;
  std::uint64_t cache_tokens = 200'000;
  testbed::WorkerSpeed speed;
  /** Workers' speeds lie within [1 - spread, 1 + spread] times the mean. */
  double speed_spread = 0.3;
  base::Duration warm_up = std::chrono::seconds(30);
  /** Total time, including the warm-up. */
  base::Duration duration = std::chrono::seconds(100);
  base::Duration gossip_interval = std::chrono::seconds(1);
  /** Longest time until a front learns that a worker started or crashed. */
  base::Duration list_delay = std::chrono::milliseconds(300);
  bool share_scores = true;
  /** Whether a worker crashes and restarts with an empty cache, and another one joins. */
  bool churn = true;
  double explore_share = 0.3;
};

}  // namespace switchsaddle::experiments
