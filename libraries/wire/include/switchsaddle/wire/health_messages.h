#pragma once

#include <cstdint>
#include <vector>

/**
 * @file
 * What fronts tell the cores of the workers they sent requests to. All counts decay, so that a
 * statement says what has been seen of late; one that is lost or comes twice does no harm.
 */

namespace switchsaddle::wire {

/** What dispatches to a worker, or to all of a pool, came to. */
struct HealthCounts {
  float dispatched = 0;
  /** Ended in an error of the worker, a broken answer or silence. */
  float failed = 0;
  /** Streams long enough to be compared with those of other workers. */
  float timed = 0;
  /** Of these, with a pause between events that those of others do not have. */
  float stalled = 0;
  /** Of these, with much more time for each event than those of others. */
  float slow = 0;
  /** Prompts sent whose reading alone stalls the streams beside them. */
  float long_prompts = 0;
  /** Seconds that the timed streams took. */
  float stream_s = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(dispatched, failed, timed, stalled, slow, long_prompts, stream_s);
  }
};

/** Of one worker instance. */
struct WorkerHealth {
  /** worker_health::workerKey() of the instance. */
  std::uint64_t worker = 0;
  /** Decays within seconds. */
  float recent_dispatched = 0;
  float recent_failed = 0;
  /** Decays within minutes. */
  HealthCounts counts;
  /** Requests of the front that are on the worker now. */
  std::uint32_t in_flight = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, recent_dispatched, recent_failed, counts, in_flight);
  }
};

/** Of all workers of one pool together. */
struct PoolHealth {
  /** Hash of the pool's name. */
  std::uint64_t pool = 0;
  float recent_dispatched = 0;
  float recent_failed = 0;
  HealthCounts counts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool, recent_dispatched, recent_failed, counts);
  }
};

/** What one front tells. Empty where it has nothing new to tell. */
struct HealthReport {
  std::vector<PoolHealth> pools;
  /** Seconds over which the front's long counts were taken, decayed as they are. */
  float observed_s = 0;
  /** Workers that it finds worse than others, those the cores asked about, and a few in turn. */
  std::vector<WorkerHealth> workers;

  bool empty() const { return pools.empty() && workers.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pools, observed_s, workers);
  }
};

/** What a core tells a front in return. */
struct HealthAdvice {
  /** Whether the core has heard the fronts; where it has not, the rest is to be passed over. */
  bool known = false;
  /** Workers that every front is to tell of. */
  std::vector<std::uint64_t> watched;
  /** Workers that are to get no request while others can take it. */
  std::vector<std::uint64_t> avoided;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, watched, avoided);
  }
};

}  // namespace switchsaddle::wire
