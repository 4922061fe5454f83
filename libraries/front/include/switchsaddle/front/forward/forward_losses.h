#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"

namespace switchsaddle::front {

/** Why a forwarded request was not served, or missed its latency target. */
enum class ForwardLoss : std::uint8_t {
  /** Rejected: its tenant's quota was exhausted. */
  QuotaSpent,
  /** Rejected: no worker was available. */
  NoWorker,
  /** Rejected: the workers it was dispatched to had no capacity. */
  WorkersFull,
  /** Ended without a response at its deadline. */
  TimeLimit,
  /** Ended without a response, or with a truncated stream, since the worker was lost. */
  WorkerLost,
  /** First event late, as estimated at placement: the prefill of its own prompt is too long. */
  LateOwnPrompt,
  /** First event late, as estimated at placement: prefills queued at the worker before it. */
  LateQueue,
  /** First event late, in contrast to the estimate at placement. */
  LateUnforeseen,
  /** First event in time, but a gap between two events was above the route's target. */
  LatePause,
};

/** @return the name of the loss in the log. */
std::string_view forwardLossName(ForwardLoss loss);

/**
 * Counts losses of forwarding by route and cause, and reports them to operators in one incident for
 * each route every few seconds, as long as there are any. Runs on the control strand.
 */
class ForwardLosses {
 public:
  ForwardLosses(base::Dispatcher& dispatcher, base::IncidentSink& incidents);

  void record(const std::string& route, ForwardLoss loss);

 private:
  void report();

  base::IncidentSink& incidents_;
  std::map<std::string, std::map<ForwardLoss, std::uint64_t>> counts_;
  base::TimerPtr timer_;
};

}  // namespace switchsaddle::front
