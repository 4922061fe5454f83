#pragma once

#include <cstdint>
#include <vector>

/**
 * @file
 * Load reports: the requests that fronts have in flight at workers, sent with each session renewal,
 * summed by the cores and returned to the fronts. Each report is complete and replaces the previous
 * one, so that processing is idempotent and a lost report needs no retry.
 */

namespace switchsaddle::wire {

/**
 * Load that one or several fronts have placed on one worker. Encoded in eight bytes, since a core
 * sends an entry for every loaded worker to every front.
 */
struct WorkerLoad {
  /** workers::loadKey() of the instance. */
  std::uint32_t worker = 0;
  /** Requests in flight. */
  std::uint16_t requests = 0;
  /** Predicted prefill time of the prompts that the worker has not answered yet. */
  std::uint16_t prefill_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, requests, prefill_ms);
  }
};

/** Exponentially decayed prompt counts of one kind of work, such as one route. */
struct WorkKindCounts {
  /** Hash that identifies the kind. */
  std::uint64_t kind = 0;
  float prompts = 0;
  float prompt_tokens = 0;
  /** Prompt tokens that missed the worker's prefix cache and were prefilled. */
  float prefilled_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, prompts, prompt_tokens, prefilled_tokens);
  }
};

/** Front to core: the front's requests in flight and its recent work by kind. */
struct FrontLoad {
  std::vector<WorkerLoad> workers;
  std::vector<WorkKindCounts> kinds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(workers, kinds);
  }
};

/** Core to front: the load placed by all other fronts. */
struct FleetLoad {
  /** The core has received reports from the fronts; if false, the other fields are ignored. */
  bool known = false;
  /** A bounded number of the most loaded workers, without the receiving front's own load. */
  std::vector<WorkerLoad> peer_loads;
  /** Work of all fronts, including the receiving one. */
  std::vector<WorkKindCounts> kinds;
  /** Mean number of requests of the loaded workers that `peer_loads` does not list. */
  float unlisted_mean_requests = 0;
  /** Mean predicted prefill time of the loaded workers that `peer_loads` does not list. */
  float unlisted_mean_prefill_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, peer_loads, kinds, unlisted_mean_requests, unlisted_mean_prefill_ms);
  }
};

}  // namespace switchsaddle::wire
