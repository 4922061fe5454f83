#pragma once

#include <cstdint>
#include <memory>
#include <set>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/front/admission/quota_meter.h"
#include "switchsaddle/front/attempt/retry_budget.h"
#include "switchsaddle/front/attempt/worker_circuit.h"
#include "switchsaddle/front/forward/forward_headers.h"
#include "switchsaddle/front/forward/forward_losses.h"
#include "switchsaddle/front/forward/forward_placer.h"
#include "switchsaddle/front/forward/forward_request.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/worker_calls/forward_port.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/worker_health/evidence_recorder.h"

namespace switchsaddle::front {

/** Retries that this front may send of a pool's requests. */
struct RetryAllowance {
  /** Retries as a share of the first attempts in the window. */
  double share = 0.1;
  /** Retries of the complete fleet in a window beyond the share; each front gets an equal part. */
  double fleet_extra = 0;
};

/** Dependencies of ForwardFlow; all outlive it. */
struct ForwardEnvironment {
  base::Dispatcher& dispatcher;
  base::RandomSource& random;
  ForwardPort& port;
  ForwardPlacer& placer;
  FleetView& fleet_view;
  RetryBudget& retries;
  WorkerCircuit& circuit;
  QuotaMeter& quotas;
  worker_health::EvidenceRecorder& health;
  Counters& counters;
  ForwardHeaders headers;
  RetryAllowance retry_allowance;
  /** Receives reports of losses; may be null. */
  base::IncidentSink* incidents = nullptr;
  /** What runs hold of workers' responses is counted here; null to count nothing. */
  std::shared_ptr<base::ByteBudget> response_memory = nullptr;
};

class ForwardRun;

/**
 * Forwards requests to workers. Steps: acquire quota → place → dispatch → relay.
 *
 * Invariants: a request that may have run is retried only if its kind is idempotent. The response
 * is 429 or 503 only if no worker ran the request. A broken stream that is resumable continues at
 * another worker after its last complete event; any other broken stream is aborted. Runs on the
 * control strand.
 */
class ForwardFlow {
 public:
  /** Maximum number of requests in flight. */
  static constexpr std::size_t MaximumRuns = 4'096;

  explicit ForwardFlow(ForwardEnvironment environment);
  ~ForwardFlow();
  ForwardFlow(const ForwardFlow&) = delete;
  ForwardFlow& operator=(const ForwardFlow&) = delete;

  /** @throws base::Error with QueueFull if MaximumRuns requests are in flight. */
  void run(ForwardRequest request, http::ResponseWriterPtr writer);
  /** Number of requests that have not ended. */
  std::size_t active() const { return runs_.size(); }
  /** Sets the number of fronts in the fleet, which share the extra retries. */
  void setFronts(std::size_t fronts);
  /** Moves resumable streams away from workers that are in maintenance by the configuration. Other
   * requests complete at their workers. */
  void migrateFromMaintenance(const configuration::View& view);
  /**
   * Ends all requests at once, since the front's stop deadline has passed. Those that may have run
   * are answered "unknown", the others "not run"; started streams are aborted.
   */
  void answerAll();
  /** Ends all requests at once, without responses. */
  void abandon();

 private:
  friend class ForwardRun;

  ForwardEnvironment environment_;
  ForwardLosses losses_;
  std::size_t fronts_ = 1;
  std::set<std::shared_ptr<ForwardRun>> runs_;
};

}  // namespace switchsaddle::front
