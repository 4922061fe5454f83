#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "switchsaddle/routing/route_statistics.h"
#include "switchsaddle/routing/worker_record.h"

namespace switchsaddle::routing {

/** One arm of the bandit: a model on a worker, or on a prefill-to-decode pair. */
struct Arm : std::enable_shared_from_this<Arm> {
  /** "worker" or "prefill>decode". */
  std::string signature;
  WorkerRecordPtr prefill;
  /** Null if one worker serves both stages. */
  WorkerRecordPtr decode;
  std::uint64_t hash = 0;
  /** Position among the pool's arms in the order of their hashes; the same on all fronts. */
  std::size_t rank = 0;
  RouteStatistics statistics;
  /** When this front last scouted the arm; only meaningful if `scouted`. */
  base::TimePoint scouted_at{};
  bool scouted = false;

  bool usable() const { return prefill->usable() && (!decode || decode->usable()); }
};

using ArmPtr = std::shared_ptr<Arm>;

}  // namespace switchsaddle::routing
