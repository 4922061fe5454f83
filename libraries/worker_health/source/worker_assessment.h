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
 * Computes the shares of degraded requests; stalls and slow transfers that the prefill of long
 * prompts explains are subtracted.
 *
 * @param observed_s seconds over which the counts were taken.
 * @param workers number of workers whose counts are summed.
 */
PoolBaseline baselineOf(const wire::HealthCounts& counts, double observed_s, double workers);

/** Sets state, symptom, severity and explained shares of the rank from its evidence. */
void assessWorker(WorkerRank& rank, const PoolBaseline& baseline);

}  // namespace switchsaddle::worker_health
