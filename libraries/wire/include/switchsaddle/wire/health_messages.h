#pragma once

#include <cstdint>
#include <vector>

/**
 * @file
 * Passive health data: outcomes of the requests that fronts dispatched to workers, reported to the
 * cores, and the advice that the cores return. All counts decay exponentially. Each report replaces
 * the previous one, so that processing is idempotent and a lost report needs no retry.
 */

namespace switchsaddle::wire {

/** Decayed outcome counts of the requests dispatched to one worker or to all workers of a pool. */
struct HealthCounts {
  float dispatched = 0;
  /** Requests that ended in a worker error, a malformed response or a time-out. */
  float failed = 0;
  /** Streams long enough to be compared with those of other workers. */
  float timed = 0;
  /** Timed streams with a gap between events that is an outlier among the pool's workers. */
  float stalled = 0;
  /** Timed streams whose time per event is an outlier among the pool's workers. */
  float slow = 0;
  /** Prompts whose prefill alone is long enough to stall concurrent streams of the worker. */
  float long_prompts = 0;
  /** Total duration of the timed streams, in seconds. */
  float stream_s = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(dispatched, failed, timed, stalled, slow, long_prompts, stream_s);
  }
};

/** Health data of one worker instance. */
struct WorkerHealth {
  /** worker_health::workerKey() of the instance. */
  std::uint64_t worker = 0;
  /** Requests dispatched, decayed within seconds. */
  float recent_dispatched = 0;
  /** Requests failed, decayed within seconds. */
  float recent_failed = 0;
  /** Counts decayed within minutes. */
  HealthCounts counts;
  /** Requests of the front in flight at the worker. */
  std::uint32_t in_flight = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, recent_dispatched, recent_failed, counts, in_flight);
  }
};

/** Health data summed over all workers of one pool. */
struct PoolHealth {
  /** Hash of the pool's name. */
  std::uint64_t pool = 0;
  /** Requests dispatched, decayed within seconds. */
  float recent_dispatched = 0;
  /** Requests failed, decayed within seconds. */
  float recent_failed = 0;
  /** Counts decayed within minutes. */
  HealthCounts counts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool, recent_dispatched, recent_failed, counts);
  }
};

/** Front to core: health report of one front. Empty if nothing has changed. */
struct HealthReport {
  std::vector<PoolHealth> pools;
  /** Observation time of the front's long-term counts in seconds, decayed like the counts. */
  float observed_s = 0;
  /** Workers that perform worse than their peers, those watched by the cores, and a few others in
   * rotation. */
  std::vector<WorkerHealth> workers;

  bool empty() const { return pools.empty() && workers.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pools, observed_s, workers);
  }
};

/** Core to front: the cores' fleet-wide conclusions. */
struct HealthAdvice {
  /** The core has received reports from the fronts; if false, the other fields are ignored. */
  bool known = false;
  /** Workers that every front must include in its reports. */
  std::vector<std::uint64_t> watched;
  /** Ejected workers: they receive no request while other workers have capacity. */
  std::vector<std::uint64_t> ejected;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, watched, ejected);
  }
};

}  // namespace switchsaddle::wire
