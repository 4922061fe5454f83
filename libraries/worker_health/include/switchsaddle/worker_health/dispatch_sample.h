#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::worker_health {

/** How a dispatch to a worker ended. */
enum class DispatchEnd : std::uint8_t {
  /** Complete, without a fault of the worker. */
  Answered,
  /** Error of the worker, broken answer or time-out. */
  Failed,
  /** The worker proved that it did not run the request. */
  Refused,
  /** No connection; handled by the front's circuit breaker. */
  Unreachable,
  /** Cancelled by the caller or by its time limit; no evidence about the worker. */
  Abandoned
};

/** A front's measurements of one dispatch. Times of zero were not measured. */
struct DispatchSample {
  DispatchEnd end = DispatchEnd::Answered;
  std::uint32_t events = 0;
  /** Longest time between two events of the stream. */
  base::Duration longest_pause{};
  /** From the first event to the last. */
  base::Duration transfer{};
  /** The front applied backpressure because the caller read slowly. */
  bool held_back = false;
};

/** Identifies a worker instance in reports; the same at every node. */
std::uint64_t workerKey(const wire::WorkerEntry& entry);
/** Identifies a pool in reports; the same at every node. */
std::uint64_t poolKey(const std::string& pool);

}  // namespace switchsaddle::worker_health
