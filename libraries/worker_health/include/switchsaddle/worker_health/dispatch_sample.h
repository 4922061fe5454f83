#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/base/time.h"
#include "switchsaddle/wire/dissemination_messages.h"

namespace switchsaddle::worker_health {

/** How a dispatch to a worker ended. */
enum class DispatchEnd : std::uint8_t {
  /** Whole and without a fault of the worker. */
  Answered,
  /** By an error of the worker, a broken answer or silence. */
  Failed,
  /** The worker proved that it did not run the request. */
  Refused,
  /** It took no connection, which is judged elsewhere. */
  Unreachable,
  /** Given up by the caller or for its time limit: says nothing of the worker. */
  Abandoned
};

/** What a front measured of one dispatch. Times of zero were not measured. */
struct DispatchSample {
  DispatchEnd end = DispatchEnd::Answered;
  std::uint32_t events = 0;
  /** Longest time between two events of the stream. */
  base::Duration longest_pause{};
  /** From the first event to the last. */
  base::Duration transfer{};
  /** The front itself held the stream back, since its caller read slowly. */
  bool held_back = false;
};

/** Names a worker instance in statements. The same at every node. */
std::uint64_t workerKey(const wire::WorkerEntry& entry);
/** Names a pool in statements. */
std::uint64_t poolKey(const std::string& pool);

}  // namespace switchsaddle::worker_health
