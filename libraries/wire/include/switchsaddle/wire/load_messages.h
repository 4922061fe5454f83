#pragma once

#include <cstdint>
#include <vector>

/**
 * @file
 * What the fronts have under way at workers, told with each renewal of a session, added up by the
 * cores and told back. Whole each time, so that one that is lost or comes twice does no harm.
 */

namespace switchsaddle::wire {

/** What one front, or several together, have under way at one worker. Eight bytes, since a core
 * tells every front of every worker that has work. */
struct WorkerLoad {
  /** workers::loadKey() of the instance. */
  std::uint32_t worker = 0;
  std::uint16_t requests = 0;
  /** Milliseconds that the worker is expected to read prompts which it has not answered. */
  std::uint16_t prefill_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, requests, prefill_ms);
  }
};

/** Prompts of one kind of work, such as one route's, counted with a half life. */
struct WorkKindCounts {
  std::uint64_t kind = 0;
  float prompts = 0;
  float prompt_tokens = 0;
  /** Of these, those that a worker had to read. */
  float read_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, prompts, prompt_tokens, read_tokens);
  }
};

/** What one front has under way, and what work it got of late. */
struct FrontLoad {
  std::vector<WorkerLoad> workers;
  std::vector<WorkKindCounts> kinds;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(workers, kinds);
  }
};

/** What all fronts but the one that is told have under way. */
struct FleetLoad {
  /** Whether the core has heard the fronts; where it has not, the rest is to be passed over. */
  bool known = false;
  /** The workers with the most under way, a bounded number. */
  std::vector<WorkerLoad> others;
  /** Of all fronts, that one included. */
  std::vector<WorkKindCounts> kinds;
  /** The mean of the workers that have something under way and are not told by themselves. */
  float rest_requests = 0;
  float rest_prefill_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known, others, kinds, rest_requests, rest_prefill_ms);
  }
};

}  // namespace switchsaddle::wire
