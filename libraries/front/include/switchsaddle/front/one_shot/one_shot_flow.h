#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/callback_scope.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/claims/claim_client.h"
#include "switchsaddle/front/attempt/retry_budget.h"
#include "switchsaddle/front/attempt/worker_circuit.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** A one-shot request after parsing and authentication. */
struct OneShotRequest {
  std::string tenant;
  /** Hash of the caller's key; the key must be in force at each dispatch. */
  std::string key_hash;
  /** Branch of the limits that the request counts against. */
  std::string branch;
  std::string service;
  std::string idempotency_key;
  /** The caller's Request-Id; may be empty. */
  std::string caller_request_id;
  /** Hash of the request; detects a key that is reused for another request. */
  std::uint64_t fingerprint = 0;
  /** Body of the request to the worker. */
  std::string body;
  /** What is counted for the request that brought the body; null if nothing is counted. */
  base::ByteReservationPtr memory = nullptr;
  base::Duration deadline = std::chrono::seconds(10);
};

/** Whether a request has run at a worker; Unknown unless it is proven. */
enum class Outcome : std::uint8_t { Ran, NotRun, Unknown };

/** @return "ran", "not-run" or "unknown". */
std::string_view outcomeName(Outcome outcome);

/** The result of a one-shot request. */
struct OneShotAnswer {
  Outcome outcome = Outcome::Unknown;
  /** Whether the answer was recorded for an earlier request with the same key. */
  bool replayed = false;
  /** Body of the worker's response; set with outcome Ran only. */
  std::string answer;
  /** Ok with outcome Ran, else the reason. */
  base::ResultCode code = base::ResultCode::Ok;
  std::uint32_t retry_after_ms = 1'000;
};

using OneShotCallback = std::function<void(const OneShotAnswer&)>;

/** Dependencies of OneShotFlow; all outlive it. */
struct OneShotEnvironment {
  base::Dispatcher& dispatcher;
  base::RandomSource& random;
  claims::ClaimClient& claims;
  admission::SlotBroker& slots;
  const sessions::SessionClient& session;
  WorkerPort& workers;
  FleetView& fleet_view;
  RetryBudget& retries;
  WorkerCircuit& circuit;
  Counters& counters;
  /** What runs hold of workers' responses is counted here; null to count nothing. */
  std::shared_ptr<base::ByteBudget> response_memory = nullptr;
};

class OneShotRun;

/**
 * Runs one-shots at most once for each idempotency key. The steps of each: claim the key → acquire
 * a slot → check the session → dispatch on a new connection → record the end in the claim → answer.
 *
 * Invariants: a request is sent to a worker only while its run owns the claim in flight, and only
 * once for each run. NotRun is recorded and answered only if no byte was sent or the worker
 * rejected this attempt with Not-Run. Any other attempt without a matching response is permanently
 * Unknown. The slot is acquired after the claim, so that a rejection for lack of slots proves that
 * the key has not run.
 *
 * Runs on the control strand. Each callback runs exactly once unless the flow is destroyed before.
 */
class OneShotFlow {
 public:
  explicit OneShotFlow(const OneShotEnvironment& environment);
  ~OneShotFlow();
  OneShotFlow(const OneShotFlow&) = delete;
  OneShotFlow& operator=(const OneShotFlow&) = delete;

  void run(OneShotRequest request, OneShotCallback callback);
  /**
   * Ends all one-shots at once, without answers.
   * @return the runs; their slots are released when these are destroyed.
   */
  std::set<std::shared_ptr<OneShotRun>> abandon();
  /** Number of one-shots that have not been answered. */
  std::size_t active() const { return runs_.size(); }

 private:
  friend class OneShotRun;

  /** @return the usable worker of the service's pool with the fewest one-shots of this front in
   * flight, or null. Ties are broken at random. */
  const workers::Worker* chooseWorker(const workers::WorkerSnapshot& snapshot,
                                      const OneShotRequest& request,
                                      const std::vector<std::string>& excluded) const;
  std::string newRunName();
  /** Records the end of a run. Retries up to `retries_left` times if the core can't be reached. */
  void record(const wire::ClaimFinish& finish, claims::ClaimCallback callback, int retries_left);

  OneShotEnvironment environment_;
  std::set<std::shared_ptr<OneShotRun>> runs_;
  /** One-shots in flight by worker id; contains no zeros. */
  std::map<std::string, std::uint32_t> in_flight_;
  /** Never empty; replaced by abandon(), which disables the pending callbacks. */
  std::optional<base::CallbackScope> callbacks_{std::in_place};
};

}  // namespace switchsaddle::front
