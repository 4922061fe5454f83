#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/claims/claim_client.h"
#include "switchsaddle/front/counters.h"
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/retry_budget.h"
#include "switchsaddle/front/worker_circuit.h"
#include "switchsaddle/front/worker_port.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** A one-shot as parsed and authenticated. */
struct OneShotRequest {
  std::string tenant;
  /** Hash of the caller's key, which has to be in force still right before each dispatch. */
  std::string key_hash;
  /** Share branch it counts against. */
  std::string branch;
  std::string service;
  std::string idempotency_key;
  /** The caller's Request-Id; may be empty. */
  std::string caller_request_id;
  /** Hash of what the caller asked for. */
  std::uint64_t fingerprint = 0;
  /** Body for the worker. */
  std::string body;
  base::Duration deadline = std::chrono::seconds(10);
};

/** What is known of a one-shot's run. */
enum class Outcome : std::uint8_t { Ran, NotRun, Unknown };

/** "ran", "not-run" or "unknown". */
std::string_view outcomeName(Outcome outcome);

/** The end of a one-shot. */
struct OneShotAnswer {
  Outcome outcome = Outcome::Unknown;
  /** The answer was recorded by an earlier attempt. */
  bool replayed = false;
  /** The worker's answer body; only with outcome Ran. */
  std::string answer;
  /** Ok with outcome Ran, else why not. */
  base::ResultCode code = base::ResultCode::Ok;
  std::uint32_t retry_after_ms = 1'000;
};

using OneShotCallback = std::function<void(const OneShotAnswer&)>;

/** What one-shots need; all outlive the flow. */
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
};

class OneShotRun;

/**
 * Runs one-shots at most once for each idempotency key. Each goes through: claim the key → take a
 * slot → check the session → dispatch on a fresh connection → record the end in the claim → answer.
 *
 * Invariants: a byte goes to a worker only while this run holds the claim in flight, and only once
 * for each run; NotRun is recorded and told only where no byte was sent or the
 * worker refused this very attempt with Not-Run; whatever else may have been sent and has no
 * matching answer is Unknown for good. The slot is taken after the claim, so that a
 * refusal for want of slots can promise that the key has not run. Runs on the control strand; the
 * callback runs exactly once unless the flow is destroyed before.
 */
class OneShotFlow {
 public:
  explicit OneShotFlow(const OneShotEnvironment& environment);
  ~OneShotFlow();
  OneShotFlow(const OneShotFlow&) = delete;
  OneShotFlow& operator=(const OneShotFlow&) = delete;

  void run(OneShotRequest request, OneShotCallback callback);
  /**
   * Ends all one-shots at once: nothing more is done or told for them. Their slots come free as the
   * returned runs go.
   */
  std::set<std::shared_ptr<OneShotRun>> abandon();
  /** One-shots not yet answered. */
  std::size_t active() const { return runs_.size(); }

 private:
  friend class OneShotRun;

  /** The usable worker of the service's pool with the fewest one-shots of this front in flight. */
  const workers::Worker* chooseWorker(const workers::WorkerSnapshot& snapshot,
                                      const OneShotRequest& request,
                                      const std::set<std::string>& excluded) const;
  std::string newRunName();
  /** Records an end of a run, again and again while the core can't be reached, within bounds. */
  void record(const wire::ClaimFinish& finish, claims::ClaimCallback callback, int attempts_left);

  OneShotEnvironment environment_;
  std::set<std::shared_ptr<OneShotRun>> runs_;
  std::map<std::string, std::uint32_t> in_flight_;
  /** Expires with this object, so that answers do not outlive it. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace switchsaddle::front
