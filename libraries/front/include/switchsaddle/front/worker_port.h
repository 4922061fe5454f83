#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "switchsaddle/base/node_address.h"
#include "switchsaddle/base/time.h"

namespace switchsaddle::front {

/** One request to a worker. */
struct WorkerRequest {
  base::NodeAddress address;
  /** Path, such as "/v1/one-shots". */
  std::string target;
  /** Unique name of this attempt; the worker echoes it. */
  std::string request_id;
  /** The caller's own Request-Id, for tracing; may be empty. */
  std::string caller_request_id;
  std::string tenant;
  /** Only for one-shots. */
  std::string idempotency_key;
  /** The decode worker where the placement is a pair. */
  std::optional<base::NodeAddress> decode;
  std::string body;
  /** Use a connection which carried nothing before and carries nothing after. */
  bool fresh_connection = false;
  /** Longest wait for the response header. */
  base::Duration response_timeout = std::chrono::seconds(60);
};

/** A worker's Worker-Load header. */
struct WorkerLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
};

/** The header of a worker's answer; docs/WORKERS.md. */
struct WorkerHead {
  std::uint16_t status = 0;
  std::string request_id;
  std::string run;
  std::string weights_version;
  std::optional<WorkerLoad> load;
  std::uint32_t cached_tokens = 0;
  bool draining = false;
  /** The worker says that it refused the request before anything ran. */
  bool not_run = false;
};

/** How far a request had come when it failed. */
enum class WorkerFailure : std::uint8_t {
  /** Proven: no byte of the request left this process. */
  NotSent,
  /** The request may have reached the worker. */
  Lost,
};

/** Hears of one request's end, on the control strand. Nothing follows onComplete or onFailure. */
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;
  virtual void onHead(const WorkerHead& head) = 0;
  /** Reading goes on only once `resume` has been called. */
  virtual void onBytes(std::string bytes, std::function<void()> resume) = 0;
  virtual void onComplete() = 0;
  /** `refused`: nothing listens at the worker's address. */
  virtual void onFailure(WorkerFailure failure, bool refused) = 0;
};

/** A running request. After cancel() the observer hears nothing more. */
class WorkerCall {
 public:
  virtual ~WorkerCall() = default;
  virtual void cancel() = 0;
};

using WorkerCallPtr = std::shared_ptr<WorkerCall>;

/** Sends requests to workers: over HTTP, or to simulated ones. Never tries a request twice itself.
 */
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  /** Never calls the observer before it has returned. */
  virtual WorkerCallPtr send(const WorkerRequest& request,
                             std::shared_ptr<WorkerObserver> observer) = 0;
};

}  // namespace switchsaddle::front
