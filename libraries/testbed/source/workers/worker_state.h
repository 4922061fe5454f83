#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
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

/** A queued or running request; the worker owns it until it has ended. */
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
};

/** @return a callback that calls the method, or does nothing once the object has gone. */
template <class Object>
std::function<void()> whileAlive(std::weak_ptr<Object> object, void (Object::*method)()) {
  return [object = std::move(object), method] {
    if (const auto alive = object.lock()) {
      (alive.get()->*method)();
    }
  };
}

/** Identifiers, tenant and model of a request. */
struct RequestIdentity {
  std::string request_id;
  std::string caller_request_id;
  std::string tenant;
  std::string model;
  std::string idempotency_key;
};

/** State shared by all requests of a fake worker. Used on one strand. */
struct WorkerState {
  WorkerState(WorkerOptions worker_options, base::Dispatcher& strand, http::Client& http_client,
              EventSink& sink, std::function<void()> crash_process);

  /** A run id that no earlier instance of this worker has used. */
  std::string nextRun();
  /** The headers of every answer. */
  std::vector<http::Header> answerHeaders(const std::string& request_id) const;
  http::Response refusal(std::uint16_t status, const std::string& request_id,
                         const std::string& reason) const;
  /** Records that a request is refused before it runs; returns the answer, which has the Not-Run
   * header. */
  http::Response refuseBeforeRun(const std::string& kind, const RequestIdentity& identity,
                                 const std::string& reason);
  void note(const std::string& event, const std::string& kind, const std::string& run,
            const RequestIdentity& identity, std::uint64_t cached_tokens, std::uint64_t chunks);
  bool draining() const { return drained || fault.active(FaultMode::Drain); }
  /** Removes a pending request; it is destroyed after the current callback has returned. */
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
  /** Id of the request answered last; the "crossed" fault sends it with another answer. */
  std::string last_request_id;
  std::set<std::shared_ptr<PendingRequest>> pending;
};

}  // namespace switchsaddle::testbed
