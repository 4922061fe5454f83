#pragma once

#include <cstdint>
#include <memory>
#include <set>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/front/counters.h"
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/forward_headers.h"
#include "switchsaddle/front/forward_losses.h"
#include "switchsaddle/front/forward_placer.h"
#include "switchsaddle/front/forward_port.h"
#include "switchsaddle/front/forward_request.h"
#include "switchsaddle/front/quota_meter.h"
#include "switchsaddle/front/retry_budget.h"
#include "switchsaddle/front/worker_circuit.h"
#include "switchsaddle/http/server.h"
#include "switchsaddle/worker_health/evidence_recorder.h"

namespace switchsaddle::front {

/** Repeats that this front may send of a pool's requests. */
struct RetryAllowance {
  /** Share of the first tries of the last seconds. */
  double share = 0.1;
  /** Repeats beyond the share for the whole fleet; each front takes an equal part. */
  double fleet_extra = 0;
};

/** What forwarding needs; all outlive the flow. */
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
  /** Where operators are told of losses; nowhere if left out. */
  base::IncidentSink* incidents = nullptr;
};

class ForwardRun;

/**
 * Carries forwarded requests: quota → place → dispatch → relay. A request that may have run is sent
 * again only where its kind allows that; the answer says 429 or 503 only where nothing ran; a
 * stream that broke goes on at another worker after its last whole event where its kind allows
 * that, and else ends visibly. Runs on the control strand.
 */
class ForwardFlow {
 public:
  /** Requests under way at one time. */
  static constexpr std::size_t MaximumRuns = 4'096;

  explicit ForwardFlow(ForwardEnvironment environment);
  ~ForwardFlow();
  ForwardFlow(const ForwardFlow&) = delete;
  ForwardFlow& operator=(const ForwardFlow&) = delete;

  void run(ForwardRequest request, http::ResponseWriterPtr writer);
  std::size_t active() const { return runs_.size(); }
  void setFronts(std::size_t fronts);
  /** Streams that can go on elsewhere leave workers that are to be empty by the configuration; what
   * else such workers have ends there. */
  void leaveEmptied(const configuration::View& view);
  /** Ends all requests at once; streams visibly, others without an answer of their own. */
  void abandon();

 private:
  friend class ForwardRun;

  ForwardEnvironment environment_;
  ForwardLosses losses_;
  std::size_t fronts_ = 1;
  std::set<std::shared_ptr<ForwardRun>> runs_;
};

}  // namespace switchsaddle::front
