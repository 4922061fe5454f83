#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/routing/prefill_queue.h"
#include "switchsaddle/routing/prefix_index.h"
#include "switchsaddle/routing/route_statistics.h"
#include "switchsaddle/routing/slow_start_limiter.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::routing {

/** What this front knows of one worker instance; kept over list changes while the instance lives.
 */
struct WorkerRecord {
  workers::Worker worker;
  WorkerNumber number = NoWorker;
  std::uint64_t hash = 0;
  SlowStartState cold;
  /** Last Worker-Load: running plus queued, less this front's own part at that moment. */
  std::uint32_t peer_load = 0;
  std::uint32_t slots = 1;
  /** workers::loadKey() of the instance. */
  std::uint32_t load_key = 0;
  /** Prompts of this front that the worker is reading. */
  PrefillQueue prefill;
  /** When this front's last request there ended, so that its connection may still be open. */
  std::optional<base::TimePoint> last_ended;
  base::TimePoint load_at{};
  bool evacuated = false;

  bool usable() const { return worker.usable() && !evacuated; }
};

using WorkerRecordPtr = std::shared_ptr<WorkerRecord>;

/** One arm of the bandit: a model on a worker, or on a prefill-to-decode pair. */
struct Arm : std::enable_shared_from_this<Arm> {
  std::string signature;
  WorkerRecordPtr prefill;
  /** Null where one worker does both stages. */
  WorkerRecordPtr decode;
  std::uint64_t hash = 0;
  /** Its place among the pool's arms by hash, the same on all fronts. */
  std::size_t rank = 0;
  RouteStatistics statistics;
  /** This front's last scout of the arm; only meaningful where there was one. */
  base::TimePoint scouted_at{};
  bool scouted = false;

  bool usable() const { return prefill->usable() && (!decode || decode->usable()); }
};

using ArmPtr = std::shared_ptr<Arm>;

}  // namespace switchsaddle::routing
