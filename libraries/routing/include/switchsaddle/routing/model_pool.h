#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/routing/cold_guard.h"
#include "switchsaddle/routing/prefix_index.h"
#include "switchsaddle/routing/route_statistics.h"
#include "switchsaddle/workers/worker_directory.h"

namespace switchsaddle::routing {

/** What this front knows of one worker instance; kept over list changes while the instance lives.
 */
struct WorkerRecord {
  workers::Worker worker;
  WorkerNumber number = NoWorker;
  std::uint64_t hash = 0;
  ColdState cold;
  /** Last Worker-Load: running plus queued, less this front's own part at that moment. */
  std::uint32_t others_load = 0;
  std::uint32_t slots = 1;
  base::TimePoint load_at{};
  bool evacuated = false;

  bool usable() const { return worker.usable() && !evacuated; }
};

using WorkerRecordPtr = std::shared_ptr<WorkerRecord>;

/** One arm of the bandit: a model on a worker, or on a prefill-to-decode pair. */
struct Arm {
  std::string signature;
  WorkerRecordPtr prefill;
  /** Null where one worker does both stages. */
  WorkerRecordPtr decode;
  std::uint64_t hash = 0;
  RouteStatistics statistics;

  bool usable() const { return prefill->usable() && (!decode || decode->usable()); }
};

using ArmPtr = std::shared_ptr<Arm>;

/** The arms of one model, and the epoch its scores are counted in. */
struct ModelPool {
  std::string model;
  std::string pool;
  std::uint64_t epoch = 1;
  /** When the present epoch began; older samples are stale. */
  base::TimePoint epoch_start{};
  std::vector<ArmPtr> arms;
  /** Arms not in the present list, kept for their means until pruned. */
  std::vector<ArmPtr> retired;
};

/** Time limits and guesses for arms never measured; ours, not the source's. */
struct ColdPrior {
  double seconds_per_prefill_token = 0.000'2;
  double seconds_per_output_token = 0.02;
  double base_seconds = 0.005;
};

/** Estimated time to the first token of a prompt on an arm, in seconds. */
double estimateFirstToken(const Arm& arm, std::uint32_t uncached_tokens,
                          std::uint32_t output_tokens, const ColdPrior& prior, base::TimePoint now);

/** Requests believed to be on the worker now, this front's own included. */
std::uint32_t believedLoad(const WorkerRecord& record, base::TimePoint now);

}  // namespace switchsaddle::routing
