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
  /** Rejected because the tenant's quota was exhausted. */
  QuotaSpent,
  /** Rejected because no worker was available. */
  NoWorker,
  /** Rejected because the workers that it was dispatched to had no capacity. */
  WorkersFull,
  /** Ended without a response at its deadline. */
  TimeLimit,
  /** Ended without a response or with a truncated stream because the worker failed. */
  WorkerLost,
  /** First event late, as estimated at placement, because the prefill of its prompt is too long. */
  LateOwnPrompt,
  /** First event late, as estimated at placement, because of prefills queued at the worker. */
  LateQueue,
  /** First event late, although the estimate at placement met the route's target. */
  LateDespiteEstimate,
  /** A gap between two events was longer than the route's target. */
  LateEvent,
};

/** @return the name under which the loss is reported. */
std::string_view forwardLossName(ForwardLoss loss);

/**
 * Counts losses of forwarding by route and cause. Reports them to operators every few seconds, in
 * one incident for each route that has any. Runs on the control strand.
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
