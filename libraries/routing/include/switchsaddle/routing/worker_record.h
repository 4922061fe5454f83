#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "switchsaddle/routing/prefill_queue.h"
#include "switchsaddle/routing/prefix_index.h"
#include "switchsaddle/routing/slow_start_limiter.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::routing {

/** This front's state of one worker instance. Kept across snapshots until the instance changes. */
struct WorkerRecord {
  workers::Worker worker;
  WorkerNumber number = NoWorker;
  /** Hash of the worker id; the same on all fronts. */
  std::uint64_t hash = 0;
  SlowStartState slow_start;
  /** Running and queued requests of the last Worker-Load header, less this front's own share. */
  std::uint32_t peer_load = 0;
  std::uint32_t slots = 1;
  /** workers::loadKey() of the instance. */
  std::uint32_t load_key = 0;
  /** Prompts of this front that the worker has not answered. */
  PrefillQueue prefill_queue;
  /** When this front's last request to the worker ended; its connection may be reusable. */
  std::optional<base::TimePoint> last_request_ended_at;
  /** When `peer_load` was reported. */
  base::TimePoint load_reported_at{};
  /** Whether the worker is in an evacuated zone or otherwise not allowed by the configuration. */
  bool evacuated = false;

  bool usable() const { return worker.usable() && !evacuated; }
};

using WorkerRecordPtr = std::shared_ptr<WorkerRecord>;

}  // namespace switchsaddle::routing
