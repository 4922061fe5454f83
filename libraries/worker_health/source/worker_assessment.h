#pragma once

#include "switchsaddle/worker_health/health_ranking.h"

namespace switchsaddle::worker_health {

/** Shares of degraded requests at the peers of a worker. */
struct PoolBaseline {
  double stalls = 0;
  double slow = 0;
  double failures = 0;
};

/**
 * Computes the shares beyond what the prefill of long prompts explains.
 *
 * @param observed_s seconds over which the counts were taken.
 * @param workers number of workers that the counts are of.
 */
PoolBaseline baselineOf(const wire::HealthCounts& counts, double observed_s, double workers);

/** Sets state, symptom, severity and explained shares of the rank from its evidence. */
void assessWorker(WorkerRank& rank, const PoolBaseline& baseline);

}  // namespace switchsaddle::worker_health
