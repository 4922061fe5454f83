#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "switchsaddle/base/dispatcher.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/http/client.h"
#include "switchsaddle/testbed/records/worker_event.h"
#include "switchsaddle/testbed/workers/fake_worker.h"
#include "switchsaddle/testbed/workers/kv_cache.h"
#include "switchsaddle/testbed/workers/slot_queue.h"
#include "switchsaddle/testbed/workers/worker_fault.h"

namespace switchsaddle::testbed {

/** A request that a worker is holding: kept alive by the worker until it has ended. */
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
};

/** What a caller's request says, apart from its kind. */
struct RequestIdentity {
  std::string request_id;
  std::string caller_request_id;
  std::string tenant;
  std::string model;
  std::string idempotency_key;
};

/** What all requests of one stand-in worker share. One strand. */
struct WorkerState {
  WorkerState(WorkerOptions worker_options, base::Dispatcher& strand, http::Client& http_client,
              EventSink& sink, std::function<void()> crash_process);

  /** A run id which no other process of this worker ever used. */
  std::string nextRun();
  /** The headers that every answer carries. */
  std::vector<http::Header> answerHeaders(const std::string& request_id) const;
  http::Response refusal(std::uint16_t status, const std::string& request_id,
                         const std::string& reason) const;
  /** The answer to a request that is refused before it runs; notes it and says so in Not-Run. */
  http::Response refuseBeforeRun(const std::string& kind, const RequestIdentity& identity,
                                 const std::string& reason);
  void note(const std::string& event, const std::string& kind, const std::string& run,
            const RequestIdentity& identity, std::uint64_t cached_tokens, std::uint64_t chunks);
  bool draining() const { return drained || fault.active(FaultMode::Drain); }
  /** Lets go of a held request once the present callback has returned. */
  void forget(const std::shared_ptr<PendingRequest>& request);

  WorkerOptions options;
  base::Dispatcher& dispatcher;
  http::Client& client;
  EventSink& events;
  std::function<void()> crash;
  base::TimePoint started;
  SlotQueue slots;
  KvCache cache;
  FaultOrder fault;
  base::RandomSource random;
  bool drained = false;
  std::uint64_t runs = 0;
  /** The request answered last, for crossed answers. */
  std::string last_request_id;
  std::set<std::shared_ptr<PendingRequest>> pending;
};

}  // namespace switchsaddle::testbed
