#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "switchsaddle/admission/slot_broker.h"
#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/incident.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/base/result_code.h"
#include "switchsaddle/configuration/view.h"
#include "switchsaddle/front/counters.h"
#include "switchsaddle/front/fleet_view.h"
#include "switchsaddle/front/retry_budget.h"
#include "switchsaddle/front/stage.h"
#include "switchsaddle/front/worker_circuit.h"
#include "switchsaddle/front/worker_port.h"
#include "switchsaddle/routing/router.h"
#include "switchsaddle/sessions/session_client.h"

namespace switchsaddle::front {

/** A stream as parsed and authenticated. */
struct StreamRequest {
  std::string tenant;
  /** Hash of the caller's key, which has to be in force still right before each dispatch. */
  std::string key_hash;
  /** Share branch it counts against. */
  std::string branch;
  configuration::SessionShape shape;
  routing::Prompt prompt;
  /** The caller's Request-Id; may be empty. */
  std::string caller_request_id;
  /** Body for the worker. */
  std::string body;
};

/** Why a stream was refused before its first event. */
struct StreamRefusal {
  base::ResultCode code = base::ResultCode::InternalError;
  /** A worker may have taken the request. */
  bool sent = false;
  std::uint32_t retry_after_ms = 1'000;
};

/** The caller's side of one stream. Exactly one of refuse() and end() is called, last. */
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /** Nothing was sent to the caller and nothing will be. */
  virtual void refuse(const StreamRefusal& refusal) = 0;
  /** Before the first event: the run it belongs to, and how much of its prompt was cached. */
  virtual void setRun(const std::string& run, std::uint32_t cached_tokens) = 0;
  /** One event in the text of text/event-stream; `written` runs once the caller has taken it
   * (true) or is gone (false). */
  virtual void sendEvent(std::string event, std::function<void(bool)> written) = 0;
  /** The last event has been handed over. Ok only after the run's own end. */
  virtual void end(base::ResultCode code) = 0;
};

/** Bounded stages that streams pass; each full queue refuses at once. */
struct StreamStages {
  Stage admit{256, 256};
  Stage relay{4'096, 256};
};

/** What streams need; all outlive the flow. */
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
  /** Where broken streams are told; nowhere if left out. */
  base::IncidentSink* incidents = nullptr;
  /** False only in tests that show what the check prevents. */
  bool check_sequence = true;
};

class StreamRun;

/** Lets the caller's side tell that the caller has gone. */
class StreamHandle {
 public:
  virtual ~StreamHandle() = default;
  /** Closes the worker's connection and gives the slot back; the sink hears nothing more. */
  virtual void cancel() = 0;
};

/**
 * Carries streams from workers to callers: admit → place → dispatch → relay → record. Each dispatch
 * checks the session right before. A worker that fails before the first piece is replaced by
 * another within the retry budget; afterwards the stream ends with an error event. Each placement
 * is completed once at the router. Runs on the control strand.
 */
class StreamFlow {
 public:
  explicit StreamFlow(const StreamEnvironment& environment);
  ~StreamFlow();
  StreamFlow(const StreamFlow&) = delete;
  StreamFlow& operator=(const StreamFlow&) = delete;

  /** The sink may hear of a refusal before this returns. */
  std::shared_ptr<StreamHandle> run(StreamRequest request, std::shared_ptr<StreamSink> sink);
  /**
   * Ends all streams at once: nothing more is done or told for them. Their slots come free as the
   * returned runs go.
   */
  std::set<std::shared_ptr<StreamRun>> abandon();
  /** Streams not yet ended. */
  std::size_t active() const { return runs_.size(); }

 private:
  friend class StreamRun;

  StreamEnvironment environment_;
  std::set<std::shared_ptr<StreamRun>> runs_;
};

}  // namespace switchsaddle::front
