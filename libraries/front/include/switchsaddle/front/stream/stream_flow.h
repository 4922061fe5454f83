#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/admission/stage.h"
#include "switchsaddle/front/attempt/retry_budget.h"
#include "switchsaddle/front/attempt/worker_circuit.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/front/node/fleet_view.h"
#include "switchsaddle/front/request/caller_connection.h"
#include "switchsaddle/front/worker_calls/worker_port.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** A streamed completion after parsing and authentication. */
struct StreamRequest {
  std::string tenant;
  /** Hash of the caller's key; the key must be in force at each dispatch. */
  std::string key_hash;
  /** Branch of the limits that the request counts against. */
  std::string branch;
  configuration::SessionShape shape;
  routing::Prompt prompt;
  /** The caller's Request-Id; may be empty. */
  std::string caller_request_id;
  /** Body of the request to the worker. */
  std::string body;
  /** What is counted for the request that brought the body; null if nothing is counted. */
  base::ByteReservationPtr memory = nullptr;
};

/** Why a stream was rejected before its first event. */
struct StreamRejection {
  base::ResultCode code = base::ResultCode::InternalError;
  /** Whether the request may have reached a worker. */
  bool sent = false;
  std::uint32_t retry_after_ms = 1'000;
};

/**
 * The caller's side of one stream. Exactly one of reject() and end() is called, as the last call,
 * unless the stream is cancelled. Runs on the control strand.
 */
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /** Rejects the request; nothing has been sent to the caller. */
  virtual void reject(const StreamRejection& rejection) = 0;
  /** Called before the first event.
   * @param run the worker's id of the run.
   * @param cached_tokens tokens of the prompt that were in the worker's prefix cache. */
  virtual void setRun(const std::string& run, std::uint32_t cached_tokens) = 0;
  /**
   * @param event one event in the format of text/event-stream.
   * @param written runs once the event has been written or the caller has disconnected.
   */
  virtual void sendEvent(std::string event, WriteCallback written) = 0;
  /** Ends the stream after the last event.
   * @param code Ok only if the worker completed the run. */
  virtual void end(base::ResultCode code) = 0;
  /** @return the bytes of events that the sink keeps after they have been written. */
  virtual std::size_t keptBytes() const { return 0; }
};

/** Bounded stages that streams pass through; a full queue rejects a stream at once. */
struct StreamStages {
  Stage admit{256, 256};
  Stage relay{4'096, 256};
};

/** Dependencies of StreamFlow; all outlive it. */
struct StreamEnvironment {
  base::Dispatcher& dispatcher;
  base::RandomSource& random;
  admission::SlotBroker& slots;
  const sessions::SessionClient& session;
  routing::Router& router;
  WorkerPort& workers;
  FleetView& fleet_view;
  RetryBudget& retries;
  WorkerCircuit& circuit;
  Counters& counters;
  StreamStages& stages;
  /** Receives reports of broken streams; may be null. */
  base::IncidentSink* incidents = nullptr;
  /** Whether the sequence of events is checked; false only in tests of faults that this detects. */
  bool check_sequence = true;
  /** What runs hold of workers' responses is counted here; null to count nothing. */
  std::shared_ptr<base::ByteBudget> response_memory = nullptr;
};

class StreamRun;

/** The handle by which the caller's side cancels a stream in flight. */
class StreamHandle {
 public:
  virtual ~StreamHandle() = default;
  /** Closes the worker's connection and releases the slot; the sink is not called afterwards. */
  virtual void cancel() = 0;
};

/**
 * Relays streams from workers to callers. Steps: admit → place → dispatch → relay → record.
 *
 * Invariants: the session is checked right before each dispatch. If a worker fails before the first
 * chunk, another one replaces it within the retry budget; if it fails later, the stream ends with
 * an error event. Each placement is completed once at the router. Runs on the control strand.
 */
class StreamFlow {
 public:
  explicit StreamFlow(const StreamEnvironment& environment);
  ~StreamFlow();
  StreamFlow(const StreamFlow&) = delete;
  StreamFlow& operator=(const StreamFlow&) = delete;

  /**
   * Starts a stream. May call reject() of the sink before it returns.
   * @return a handle for cancelling the stream.
   */
  std::shared_ptr<StreamHandle> run(StreamRequest request, std::shared_ptr<StreamSink> sink);
  /**
   * Ends all streams at once, without calling their sinks.
   * @return the runs; their slots are released when these are destroyed.
   */
  std::set<std::shared_ptr<StreamRun>> abandon();
  /** Number of streams that have not ended. */
  std::size_t active() const { return runs_.size(); }

 private:
  friend class StreamRun;

  StreamEnvironment environment_;
  std::set<std::shared_ptr<StreamRun>> runs_;
};

}  // namespace switchsaddle::front
