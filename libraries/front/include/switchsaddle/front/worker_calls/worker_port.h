#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/base/byte_budget.h"
#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::front {

/** One request to a worker, as docs/WORKERS.md defines it. */
struct WorkerRequest {
  base::NodeAddress address;
  /** Request target, such as "/v1/one-shots". */
  std::string target;
  /** Unique id of this attempt; the worker echoes it. */
  std::string request_id;
  /** The caller's own Request-Id, for tracing; may be empty. */
  std::string caller_request_id;
  std::string tenant;
  /** Set for one-shot requests only. */
  std::string idempotency_key;
  /** The decode worker, if prefill and decode run on different workers. */
  std::optional<base::NodeAddress> decode;
  std::string body;
  /** What is counted for the request that brought the body; null if nothing is counted. */
  base::ByteReservationPtr memory = nullptr;
  /** Use a new connection, and close it after the response. */
  bool fresh_connection = false;
  /** Time-out of the response header. */
  base::Duration response_timeout = std::chrono::seconds(60);
};

/** The load in a worker's Worker-Load header, in requests. */
struct WorkerLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
};

/** The header of a worker's response; see docs/WORKERS.md. */
struct WorkerHead {
  std::uint16_t status = 0;
  std::string request_id;
  std::string run;
  std::string weights_version;
  std::optional<WorkerLoad> load;
  std::uint32_t cached_tokens = 0;
  bool draining = false;
  /** The worker states that it rejected the request before anything ran. */
  bool not_run = false;
};

/** Whether a failed request may have reached its worker. */
enum class WorkerFailure : std::uint8_t {
  /** Proven: no byte of the request left this process. */
  NotSent,
  /** The request may have reached the worker. */
  Lost,
};

/**
 * Receives the response to one request, on the control strand. Nothing follows onComplete() or
 * onFailure().
 *
 * @tparam Head the response header in the form in which the port delivers it.
 */
template <class Head>
class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  /** The response header; comes before any bytes. */
  virtual void onHead(const Head& head) = 0;
  /** Bytes of the body. Reading continues only after `resume` has been called. */
  virtual void onBytes(std::string bytes, std::function<void()> resume) = 0;
  /** The response is complete. */
  virtual void onComplete() = 0;
  /** @param refused whether the worker's address refused the connection. */
  virtual void onFailure(WorkerFailure failure, bool refused) = 0;
};

using WorkerObserver = ResponseObserver<WorkerHead>;

/** A request in flight. */
class WorkerCall {
 public:
  virtual ~WorkerCall() = default;
  /** Closes the exchange; the observer is not called afterwards. */
  virtual void cancel() = 0;
};

using WorkerCallPtr = std::shared_ptr<WorkerCall>;

/** Sends requests to workers over HTTP, or to simulated workers. Never retries by itself. */
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  /**
   * Sends the request. The observer is not called before this has returned.
   * @return the call, to be kept for cancelling; it continues even if it is dropped.
   */
  virtual WorkerCallPtr send(const WorkerRequest& request,
                             std::shared_ptr<WorkerObserver> observer) = 0;
};

}  // namespace switchsaddle::front
